/**
 * One run of a share of the letter: whole node cores in simulated time, hollow engines, every
 * trainer with one step, interactive work beside it.
 */
import { createRandomSource } from '../../src/core/random.js';
import { type Milliseconds, SECOND } from '../../src/core/units.js';
import { NodeCore } from '../../src/node/node-core.js';
import { round } from '../common/statistics.js';
import { Simulation } from '../simulation/simulation.js';
import { type DurationSummary, heapInUse, processorMilliseconds } from './hollow-fleet-measures.js';
import { LetterCallers } from './letter-callers.js';
import { EngineWatch, letterEngine } from './letter-engines.js';
import { type BusiestNode, LetterMeter } from './letter-meter.js';
import {
  BODY_SCALE,
  LETTER,
  type LetterShare,
  letterPlan,
  TOKENS_PER_UNIT,
} from './letter-plan.js';
import { LetterTrainer } from './letter-trainer.js';

/** Time for nodes to find each other before the steps are submitted. */
const WARM_UP: Milliseconds = 12 * SECOND;

/** Simulated time between two looks at whether all steps are whole. */
const SLICE: Milliseconds = 2 * SECOND;

/** Mean over median of a log-normal length with the spread of the hollow engines. */
const MEAN_OVER_MEDIAN = Math.exp(0.9 ** 2 / 2);

/** Settings of one run. */
export interface LetterRunOptions {
  readonly seed: number;
  readonly share: LetterShare;
  /** Mean length of a sample before its limit. */
  readonly meanTokens: number;
  readonly maxTokens: number;
  /** Most bytes of bodies a node holds, at the letter's lengths; scaled as the bodies are. */
  readonly maxResultBytes: number;
  /** Interactive requests a second over the whole share. */
  readonly interactivePerSecond: number;
  /** Simulated time after which the run ends though steps are open. */
  readonly limit: Milliseconds;
  /** Processor time after which the run ends though steps are open. */
  readonly processorLimit: Milliseconds;
}

/** Figures of one run. */
export interface LetterFigures extends LetterShare {
  readonly mean_tokens_asked: number;
  readonly mean_tokens_made: number;
  readonly steps_whole: number;
  readonly step_p50_s: number | null;
  readonly step_max_s: number | null;
  readonly simulated_s: number;
  readonly samples_handed_over: number;
  readonly samples_doubled: number;
  readonly failed_trainer_calls: number;
  readonly workers_used: number;
  readonly in_flight_every_20_s: readonly number[];
  readonly interactive_asked: number;
  readonly interactive_failed: number;
  readonly interactive: DurationSummary;
  readonly counters: Readonly<Record<string, number>>;
  readonly messages_a_sample_by_module: Readonly<Record<string, number>>;
  readonly cpu_us_a_sample_by_event: Readonly<Record<string, number>>;
  readonly busiest: BusiestNode;
  readonly heap_mb: number;
  readonly processor_s: number;
}

/** Runs one share and measures it. */
export function measureLetter(options: LetterRunOptions): LetterFigures {
  const started = processorMilliseconds();
  const { share, seed } = options;
  const median = Math.round(options.meanTokens / MEAN_OVER_MEDIAN / TOKENS_PER_UNIT);
  const meter = new LetterMeter();
  const plan = letterPlan(share, median);
  const maxResultBytes = Math.round(options.maxResultBytes / BODY_SCALE);
  const simulation = new Simulation({
    seed,
    plan,
    observeMessages: false,
    engineSettings: letterEngine(median),
    createNode: (self, { zones, operators }, random) =>
      meter.measured(new NodeCore({ self, random, zones, operators, maxResultBytes })),
  });
  simulation.start();
  simulation.advance(WARM_UP);
  meter.reset();
  const engines = new EngineWatch();
  simulation.addObserver((observation) => engines.observe(observation));
  const trainers = plan.trainers.map((trainer) => new LetterTrainer(simulation, trainer));
  const begun = simulation.queue.now;
  for (const trainer of trainers) {
    trainer.start({
      samples: share.samplesAStep,
      maxTokens: Math.round(options.maxTokens / TOKENS_PER_UNIT),
      timeout: options.limit,
    });
  }
  const interactive = new LetterCallers(
    simulation,
    options.interactivePerSecond,
    createRandomSource(seed),
  );
  const isOpen = (): boolean => trainers.some((trainer) => trainer.wholeAfter === null);
  const mayGoOn = (): boolean =>
    simulation.queue.now - begun < options.limit &&
    processorMilliseconds() - started < options.processorLimit;
  while (isOpen() && mayGoOn()) {
    interactive.offer(SLICE);
    simulation.advance(SLICE);
  }
  const samples = sum(trainers.map((trainer) => trainer.received));
  const whole = trainers.flatMap(({ wholeAfter }) => wholeAfter ?? []);
  const asked = share.samplesAStep * share.trainers;
  return {
    ...share,
    mean_tokens_asked: options.meanTokens,
    mean_tokens_made: round(engines.tokens / Math.max(1, engines.samplesFinished), 0),
    steps_whole: whole.length,
    step_p50_s: whole.length === 0 ? null : seconds(middle(whole)),
    step_max_s: whole.length < trainers.length ? null : seconds(Math.max(...whole)),
    simulated_s: seconds(simulation.queue.now - begun),
    samples_handed_over: samples,
    samples_doubled: sum(trainers.map((trainer) => trainer.doubled)),
    failed_trainer_calls: sum(trainers.map((trainer) => trainer.failedCalls)),
    workers_used: engines.workersUsed,
    in_flight_every_20_s: engines.course,
    interactive_asked: interactive.asked,
    interactive_failed: interactive.failed,
    interactive: interactive.summary,
    counters: positive(meter.counters()),
    messages_a_sample_by_module: perSample(meter.messagesByModule(), asked, 1),
    cpu_us_a_sample_by_event: perSample(meter.timeByEvent(), asked, 1_000),
    busiest: meter.busiest(),
    heap_mb: round(heapInUse() / 1_048_576, 0),
    processor_s: round((processorMilliseconds() - started) / SECOND, 0),
  };
}

/** The part of the letter's tokens that a share's steps would need within the letter's time. */
export function loadShare(meanTokens: number): number {
  const samples = LETTER.trainers * LETTER.samplesAStep;
  return (samples * meanTokens) / LETTER.stepLimitSeconds / LETTER.tokensPerSecond;
}

function perSample(
  values: ReadonlyMap<string, number>,
  samples: number,
  factor: number,
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    [...values].map(([name, value]) => [name, round((value * factor) / samples, 2)]),
  );
}

function positive(values: Readonly<Record<string, number>>): Readonly<Record<string, number>> {
  return Object.fromEntries(Object.entries(values).filter(([, value]) => value > 0));
}

function middle(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function seconds(value: Milliseconds): number {
  return round(value / SECOND, 1);
}
