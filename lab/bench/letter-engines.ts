/**
 * How the hollow engines of the letter are busy: sequences in flight over time, workers that were
 * used, and tokens made.
 */
import { type Milliseconds, SECOND } from '../../src/core/units.js';
import type { EngineSettings } from '../emulator/engine-settings.js';
import type { Observation } from '../simulation/observation.js';
import { LETTER, SLOTS, TOKENS_PER_UNIT } from './letter-plan.js';

/** Time between two points of the course of a run. */
const COURSE_INTERVAL: Milliseconds = 20 * SECOND;

/** Tokens a second of one worker with all slots taken. */
export const WORKER_TOKENS_PER_SECOND = LETTER.tokensPerSecond / LETTER.workers;

/** Time of one decode step of a full worker, for one token of each sequence. */
const FULL_STEP_TIME: Milliseconds = (SLOTS * SECOND) / WORKER_TOKENS_PER_SECOND;

/** Part of a full step's time that each sequence adds; the rest is there for any batch. */
const SEQUENCE_PART = 0.028;

/** Settings that make an emulated engine one worker of the letter. */
export function letterEngine(medianUnits: number): Partial<EngineSettings> {
  const stepTimePerSequence = FULL_STEP_TIME * SEQUENCE_PART * TOKENS_PER_UNIT;
  return {
    stepTimePerSequence,
    baseStepTime: FULL_STEP_TIME * TOKENS_PER_UNIT - SLOTS * stepTimePerSequence,
    prefillTimePerToken: 0,
    lengthSpread: 0.9,
    chunkTokens: Math.max(1, medianUnits),
  };
}

/** Watches the engines of one run. */
export class EngineWatch {
  private readonly running = new Set<string>();
  private readonly usedWorkers = new Set<string>();
  private readonly inFlight: number[] = [];
  private nextPoint: Milliseconds | null = null;
  private units = 0;
  private finished = 0;

  /** Samples that ended, with copies and repeats. */
  get samplesFinished(): number {
    return this.finished;
  }

  /** Tokens of samples that ended. */
  get tokens(): number {
    return this.units * TOKENS_PER_UNIT;
  }

  /** Workers that ran at least one sample. */
  get workersUsed(): number {
    return this.usedWorkers.size;
  }

  /** Samples on the engines at each point of the course. */
  get course(): readonly number[] {
    return this.inFlight;
  }

  /** Takes in what was seen. */
  observe(observation: Observation): void {
    this.notePoints(observation.at);
    if (observation.kind === 'engine-accepted') {
      if (observation.request.trafficClass !== 'training') return;
      this.running.add(observation.dispatchId);
      this.usedWorkers.add(observation.worker);
    }
    if (observation.kind !== 'engine-event' || observation.event.kind === 'segment') return;
    if (!this.running.delete(observation.dispatchId)) return;
    if (observation.event.kind !== 'finished') return;
    this.finished += 1;
    this.units += observation.event.result.tokenCount;
  }

  private notePoints(now: Milliseconds): void {
    this.nextPoint ??= now;
    while (now >= this.nextPoint) {
      this.inFlight.push(this.running.size);
      this.nextPoint += COURSE_INTERVAL;
    }
  }
}
