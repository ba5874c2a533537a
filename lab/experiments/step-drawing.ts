/**
 * Draws steps: dispatches their samples by a variant's rules, follows the streams, and takes up
 * what is lost. The decisions are those of `src/routing` and `src/weights`; this module joins them
 * in simulated time.
 */
import type { TokenSegment } from '../../src/core/generation.js';
import type { EngineEvent } from '../../src/platform/worker.js';
import { HedgingPolicy } from '../../src/routing/hedging-policy.js';
import { LengthPredictor } from '../../src/routing/length-predictor.js';
import { checkSegment, versionFault } from '../../src/weights/staleness-bound.js';
import { answerKey } from '../emulator/generated-text.js';
import type { TableCandidate } from './candidate-table.js';
import type { DrawingCounters, StepDrawingOptions } from './drawing-options.js';
import {
  type Attempt,
  appendSegment,
  type DrawnSample,
  type DrawnStep,
  tokensOf,
} from './drawn-step.js';
import { lateSamples } from './late-samples.js';
import { type LongMove, movesOfLongSamples } from './long-samples.js';

/** How often waiting, silent and late samples are looked at. */
const CHECK_INTERVAL = 250;

/** Silence of a stream after which its sample is taken up elsewhere. */
const SILENCE_LIMIT = 3_000;

/** Longest and shortest pause before a refused sample is sent again. */
const REFUSAL_PAUSE = { shortest: 500, longest: 1_500 };

/** Time to read one token of a resumed answer into another engine. */
const RESUME_TIME_PER_TOKEN = 0.2;

/** Slots of each worker that training leaves to interactive work where homes keep the queue. */
const RESERVED_SLOTS = 1;

/** The drawing side of one deployment. */
export class StepDrawing {
  readonly counters: DrawingCounters = { attemptsWasted: 0, tokensWasted: 0, tokensUsed: 0 };
  private readonly attempts = new Map<string, Attempt>();
  private readonly predictor = new LengthPredictor();
  private readonly hedging = new HedgingPolicy();
  private steps: DrawnStep[] = [];
  private nextDispatch = 0;

  constructor(private readonly options: StepDrawingOptions) {
    this.check();
  }

  /** Takes a step in; its samples start as the variant allows. */
  submit(step: DrawnStep): void {
    this.steps.push(step);
    this.dispatchPending();
  }

  /** Runs samples of a step again whose answers the hand-over check refused. */
  rerun(step: DrawnStep, samples: readonly DrawnSample[]): void {
    for (const sample of samples) {
      this.waste(sample.result?.tokenCount ?? 0);
      sample.result = undefined;
      sample.lost = [];
      step.missing += 1;
      step.pending.push(sample);
    }
    step.completedAt = undefined;
    if (!this.steps.includes(step)) this.steps.unshift(step);
    this.dispatchPending();
  }

  /** Takes in what an engine says of an attempt. */
  engineEvent(dispatchId: string, event: EngineEvent): void {
    const attempt = this.attempts.get(dispatchId);
    if (attempt === undefined) return;
    attempt.heardAt = this.options.queue.now;
    if (event.kind === 'segment') this.segment(attempt, event.segment);
    else if (event.kind === 'failed') this.lose(attempt, true);
    else {
      attempt.sample.result = event.result;
      this.complete(attempt);
    }
  }

  private segment(attempt: Attempt, segment: TokenSegment): void {
    const bounds = { oldest: attempt.sample.step.oldestVersion, newest: null };
    const verdict = checkSegment(bounds, 'record', attempt.segments.at(-1), segment);
    appendSegment(attempt.segments, segment);
    attempt.tokens += segment.tokenCount;
    if (verdict.kind !== 'too-old' || !this.options.variant.earlyRerun) return;
    attempt.segments = [];
    attempt.candidate.host.cancel(attempt.dispatchId);
    this.lose(attempt, false);
  }

  private complete(attempt: Attempt): void {
    const { sample } = attempt;
    this.release(attempt);
    for (const other of [...sample.attempts]) {
      other.candidate.host.cancel(other.dispatchId);
      this.release(other);
      this.waste(other.tokens - other.resumedTokens);
    }
    this.counters.tokensUsed += attempt.tokens;
    this.predictor.record(sample.request, attempt.tokens);
    const { step } = sample;
    step.durations.push(this.options.queue.now - attempt.startedAt);
    step.missing -= 1;
    if (step.missing === 0) this.finish(step);
    this.dispatchPending();
  }

  private finish(step: DrawnStep): void {
    step.completedAt = this.options.queue.now;
    this.steps = this.steps.filter((other) => other !== step);
    this.options.onComplete(step);
  }

  /** An attempt ended without an answer. */
  private lose(attempt: Attempt, isWorkerLost: boolean): void {
    const { sample, candidate } = attempt;
    this.release(attempt);
    if (isWorkerLost) this.options.table.suspect(candidate);
    const keeps = this.options.variant.resume && attempt.segments.length > 0;
    if (!keeps) this.waste(attempt.tokens);
    if (sample.attempts.size > 0 || sample.result !== undefined) return;
    sample.lost = keeps ? attempt.segments : [];
    sample.step.pending.unshift(sample);
    this.dispatchPending();
  }

  private release(attempt: Attempt): void {
    this.attempts.delete(attempt.dispatchId);
    attempt.sample.attempts.delete(attempt);
    attempt.candidate.outstanding -= 1;
  }

  private waste(tokens: number): void {
    this.counters.attemptsWasted += 1;
    this.counters.tokensWasted += Math.max(0, tokens);
  }

  private check(): void {
    const { variant, queue } = this.options;
    if (variant.resume) this.takeUpSilent();
    if (variant.hedging) this.hedge();
    if (variant.moveLong) this.moveLong();
    this.dispatchPending();
    queue.after(CHECK_INTERVAL, () => this.check());
  }

  private moveLong(): void {
    const { candidates } = this.options.table;
    const moves = movesOfLongSamples(this.attempts.values(), candidates, trainingSlots);
    for (const move of moves) this.move(move);
  }

  /** Goes on with a long sample on another worker; no token is lost. */
  private move({ attempt, target }: LongMove): void {
    const exported = attempt.candidate.host.exportCache(attempt.dispatchId);
    if (exported === undefined || attempt.sample.attempts.size > 1) return;
    attempt.candidate.host.cancel(attempt.dispatchId);
    this.release(attempt);
    attempt.sample.lost = exported.segments;
    this.start(attempt.sample, target);
  }

  private takeUpSilent(): void {
    const { now } = this.options.queue;
    for (const attempt of [...this.attempts.values()]) {
      if (now - attempt.heardAt < SILENCE_LIMIT || attempt.candidate.state === 'in-service')
        continue;
      attempt.candidate.host.cancel(attempt.dispatchId);
      this.lose(attempt, true);
    }
  }

  private hedge(): void {
    const { now } = this.options.queue;
    const late = this.steps.flatMap((step) => lateSamples(step, this.hedging, now));
    for (const sample of late) this.hedgeSample(sample);
  }

  /** Starts a second attempt from the streamed tokens on a worker that is less loaded. */
  private hedgeSample(sample: DrawnSample): void {
    const [first] = sample.attempts;
    if (first === undefined) return;
    const isBetter = (candidate: TableCandidate): boolean =>
      candidate.outstanding < first.candidate.outstanding && this.mayTake(candidate, sample);
    const candidate = this.options.table.choose(sample.request, isBetter);
    if (candidate === undefined) return;
    sample.lost = [...first.segments];
    sample.step.hedgesMade += 1;
    this.start(sample, candidate);
  }

  private dispatchPending(): void {
    for (const step of this.steps) {
      if (step.pending.length === 0 || !this.mayStart(step)) continue;
      this.dispatchStep(step);
    }
  }

  /** The gang rule: all slots a step can use are free, or it holds them already. */
  private mayStart(step: DrawnStep): boolean {
    if (!this.options.variant.gang || step.started) return true;
    if (this.steps.some((other) => other !== step && other.started)) return false;
    const { candidates } = this.options.table;
    return candidates.every((candidate) => candidate.outstanding === 0);
  }

  private dispatchStep(step: DrawnStep): void {
    const { variant, queue } = this.options;
    if (!this.options.table.candidates.some((candidate) => this.hasRoom(candidate))) return;
    if (variant.longestFirst) this.sortLongestFirst(step);
    const kept: DrawnSample[] = [];
    let isFull = false;
    for (const sample of step.pending) {
      if (isFull || queue.now < sample.retryAt) {
        kept.push(sample);
        continue;
      }
      const isAllowed = (candidate: TableCandidate): boolean => this.mayTake(candidate, sample);
      const candidate = this.options.table.choose(sample.request, isAllowed);
      isFull = candidate === undefined;
      if (candidate === undefined) kept.push(sample);
      else this.start(sample, candidate);
    }
    step.pending = kept;
    step.started = true;
  }

  /** Sorts once an interval, as each finished sample changes the predictions a little. */
  private sortLongestFirst(step: DrawnStep): void {
    const { now } = this.options.queue;
    if (now - step.sortedAt < CHECK_INTERVAL) return;
    step.sortedAt = now;
    const scored = step.pending.map((sample) => ({
      sample,
      tokens: this.predictor.predict(sample.request),
    }));
    scored.sort((left, right) => right.tokens - left.tokens);
    step.pending = scored.map((entry) => entry.sample);
  }

  private mayTake(candidate: TableCandidate, sample: DrawnSample): boolean {
    const { activeVersion } = candidate;
    if (activeVersion === undefined || !this.hasRoom(candidate)) return false;
    const bounds = { oldest: sample.step.oldestVersion, newest: null };
    return versionFault(bounds, activeVersion) === undefined;
  }

  private hasRoom(candidate: TableCandidate): boolean {
    return !this.options.variant.homeQueue || candidate.outstanding < trainingSlots(candidate);
  }

  private start(sample: DrawnSample, candidate: TableCandidate): void {
    const { queue, latency } = this.options;
    const { lost } = sample;
    sample.lost = [];
    this.nextDispatch += 1;
    const tokens = tokensOf(lost);
    const attempt: Attempt = {
      dispatchId: `dispatch-${this.nextDispatch}`,
      sample,
      candidate,
      startedAt: queue.now,
      heardAt: queue.now,
      segments: [],
      tokens: 0,
      resumedTokens: tokens,
    };
    this.attempts.set(attempt.dispatchId, attempt);
    sample.attempts.add(attempt);
    candidate.outstanding += 1;
    queue.after(latency + tokens * RESUME_TIME_PER_TOKEN, () => this.arrive(attempt, lost));
  }

  private arrive(attempt: Attempt, lost: readonly TokenSegment[]): void {
    const { dispatchId, sample, candidate } = attempt;
    if (this.attempts.get(dispatchId) !== attempt) return;
    const resume =
      lost.length > 0
        ? { answer: answerKey(sample.request.prompt, sample.request.samplingSeed), segments: lost }
        : undefined;
    if (candidate.host.start(dispatchId, sample.request, resume) === 'accepted') return;
    this.release(attempt);
    if (sample.attempts.size > 0 || sample.result !== undefined) return;
    const { shortest, longest } = REFUSAL_PAUSE;
    sample.lost = lost;
    sample.retryAt =
      this.options.queue.now + shortest + this.options.fraction() * (longest - shortest);
    sample.step.pending.push(sample);
  }
}

/** Slots that training may use where homes keep the queue. */
function trainingSlots(candidate: TableCandidate): number {
  return candidate.slots - RESERVED_SLOTS;
}
