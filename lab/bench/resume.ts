/**
 * Bench of going on elsewhere: what is lost when samples end early, with and without the tokens
 * they have. The decision cores of a deployment run in simulated time, all variants on one seed:
 * long samples, bursts of interactive requests that preempt them, killed nodes, a lost engine, a
 * leaving worker and new weight versions under a staleness bound of 1. The target: fewer tokens
 * wasted with resuming than without it, every step whole and no violation, on each seed.
 */
import type { Intent } from '../../src/config-feed/configuration.js';
import type { TokenCount } from '../../src/core/units.js';
import { type Milliseconds, SECOND } from '../../src/core/units.js';
import { numberFlag } from '../common/flags.js';
import { round } from '../common/statistics.js';
import type { CommandFlags } from '../main.js';
import { CompleteAnswerOracle } from '../proofs/oracles/complete-answer.js';
import { StalenessBoundOracle } from '../proofs/oracles/staleness-bound.js';
import { WeightVersionsOracle } from '../proofs/oracles/weight-versions.js';
import type { Action } from '../simulation/action.js';
import { associationPlan, type FleetPlan } from '../simulation/fleet-plan.js';
import { createNodeFactory } from '../simulation/node-core-factory.js';
import type { Observation } from '../simulation/observation.js';
import { Scenario } from '../simulation/scenario.js';
import { Simulation } from '../simulation/simulation.js';

const DEFAULT_SEEDS = 3;
const MEDIAN_TOKENS: TokenCount = 400;
const MAX_TOKENS: TokenCount = 2_000;
const SAMPLES_OF_STEP = 48;
const STEP_TIMEOUT: Milliseconds = 3_600 * SECOND;
/** Interactive requests come in bursts that take most slots of the fleet. */
const BURST_INTERVAL: Milliseconds = 4 * SECOND;
const BURSTS = 20;
const BURST_REQUESTS = 30;
const INTERACTIVE_TOKENS: TokenCount = 60;
const PATIENCE: Milliseconds = 20 * SECOND;

/** Faults by the number of the burst they come before. */
const FAULTS: ReadonlyMap<number, Action> = new Map<number, Action>([
  [2, { kind: 'kill', node: 0, downtime: 6 * SECOND }],
  [4, { kind: 'crash-engine', worker: 1, downtime: 5 * SECOND }],
  [6, { kind: 'worker-leaves', worker: 3, sign: 'report', duration: 20 * SECOND }],
  [8, { kind: 'publish-version', model: 0 }],
  [10, { kind: 'kill', node: 4, downtime: 6 * SECOND }],
  [13, { kind: 'publish-version', model: 0 }],
  [18, { kind: 'publish-version', model: 0 }],
]);

/** What is compared, with the room for new versions that a resumed sample must have. */
const VARIANTS = {
  'from-start': { resume: false },
  resume: { resume: true, resumeRoom: 0 },
  'resume-with-room-1': { resume: true, resumeRoom: 1 },
} as const;

type ResumeVariant = keyof typeof VARIANTS;

/** Figures of one run. */
export interface ResumeFigures {
  readonly seed: number;
  readonly variant: ResumeVariant;
  readonly samples_asked: number;
  readonly samples_delivered: number;
  readonly tokens_made: TokenCount;
  readonly tokens_delivered: TokenCount;
  /** Tokens made that are in no delivered sample, as a share of those made. */
  readonly wasted_share: number;
  /** Engine starts that went on from tokens made elsewhere. */
  readonly resumed_starts: number;
  /** Tokens that such starts read in place of making them. */
  readonly tokens_read_again: TokenCount;
  /** When the last sample reached its trainer, from the first submission on. */
  readonly whole_after_seconds: number;
  /** Delivered samples of more than one version. */
  readonly mixed_samples: number;
  /** Of the oracles for whole answers, true versions and the staleness bound. */
  readonly violations: number;
}

/** The association with its callers on the model that the trainers draw from. */
function contestedPlan(versionSpan: Intent['versionSpan']): FleetPlan {
  const plan = associationPlan(MEDIAN_TOKENS);
  const model = 'model-bench';
  return {
    ...plan,
    intents: plan.intents.map((intent) => ({ ...intent, model, versionSpan })),
    callers: plan.callers.map((caller) => ({ ...caller, model })),
  };
}

/** What an onlooker counts. */
class ResumeMeter {
  readonly delivered = new Map<string, TokenCount>();
  readonly oracles = [
    new CompleteAnswerOracle(MEDIAN_TOKENS),
    new WeightVersionsOracle(),
    new StalenessBoundOracle(),
  ];
  lastDelivery: Milliseconds = 0;
  mixedSamples = 0;
  resumedStarts = 0;
  tokensReadAgain: TokenCount = 0;

  observe(observation: Observation): void {
    for (const oracle of this.oracles) oracle.observe(observation);
    if (observation.kind === 'engine-accepted') {
      const last = observation.request.resume?.segments.at(-1);
      if (last === undefined) return;
      this.resumedStarts += 1;
      this.tokensReadAgain += last.firstToken + last.tokenCount;
    }
    if (observation.kind !== 'reply-received' || observation.reply.kind !== 'done') return;
    const { body } = observation.reply;
    if (body.kind !== 'step-page') return;
    for (const { key, result } of body.page.samples) {
      const name = `${body.page.stepId}/${key}`;
      if (this.delivered.has(name)) continue;
      this.delivered.set(name, result.tokenCount);
      if (result.segments.length > 1) this.mixedSamples += 1;
      this.lastDelivery = observation.at;
    }
  }
}

/** Runs the deployment once. */
export function measureResume(
  seed: number,
  variant: ResumeVariant,
  versionSpan: Intent['versionSpan'] = 'record',
): ResumeFigures {
  const createNode = createNodeFactory([], VARIANTS[variant]);
  const plan = contestedPlan(versionSpan);
  const simulation = new Simulation({ seed, plan, createNode, observeMessages: false });
  const meter = new ResumeMeter();
  simulation.addObserver((observation) => meter.observe(observation));
  const scenario = new Scenario(simulation);
  scenario.begin();
  const startedAt = simulation.queue.now;
  submitSteps(scenario, plan);
  for (let burst = 0; burst < BURSTS; burst += 1) takeBurst(scenario, burst);
  scenario.settle();
  for (const oracle of meter.oracles) oracle.finish(simulation.queue.now);
  const engines = [...simulation.engines.values()];
  const made = engines.reduce((sum, engine) => sum + engine.made.of('training'), 0);
  const delivered = [...meter.delivered.values()].reduce((sum, tokens) => sum + tokens, 0);
  return {
    seed,
    variant,
    samples_asked: SAMPLES_OF_STEP * plan.trainers.length,
    samples_delivered: meter.delivered.size,
    tokens_made: made,
    tokens_delivered: delivered,
    wasted_share: round((made - delivered) / made, 4),
    resumed_starts: meter.resumedStarts,
    tokens_read_again: meter.tokensReadAgain,
    whole_after_seconds: round((meter.lastDelivery - startedAt) / SECOND, 4),
    mixed_samples: meter.mixedSamples,
    violations: meter.oracles.reduce((sum, oracle) => sum + oracle.violationCount, 0),
  };
}

/** Runs the bench; exit code 0 when its target is reached on each seed. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const first = numberFlag(flags, 'seed', 1);
  const count = numberFlag(flags, 'seeds', DEFAULT_SEEDS);
  const names = Object.keys(VARIANTS) as ResumeVariant[];
  const seeds = Array.from({ length: count }, (_, index) => first + index);
  const runs = seeds.flatMap((seed) => names.map((variant) => measureResume(seed, variant)));
  console.table(runs);
  const reached = runs.every(isSound) && seeds.every((seed) => pays(runs, seed));
  console.log(JSON.stringify({ bench: 'resume', seeds: count, reached, runs }));
  return reached ? 0 : 1;
}

/** Whether resuming wastes less than starting over on a seed. */
function pays(runs: readonly ResumeFigures[], seed: number): boolean {
  const wasted = (variant: ResumeVariant): number =>
    runs.find((run) => run.seed === seed && run.variant === variant)?.wasted_share ?? 1;
  return wasted('resume') < wasted('from-start');
}

function submitSteps(scenario: Scenario, plan: FleetPlan): void {
  plan.trainers.forEach((_, trainer) => {
    const order = { samples: SAMPLES_OF_STEP, maxTokens: MAX_TOKENS, timeout: STEP_TIMEOUT };
    scenario.take({ after: 0, action: { kind: 'submit-step', trainer, ...order } });
  });
}

function takeBurst(scenario: Scenario, burst: number): void {
  const fault = FAULTS.get(burst);
  if (fault !== undefined) scenario.take({ after: 0, action: fault });
  for (let caller = 0; caller < BURST_REQUESTS; caller += 1) {
    const question = { maxTokens: INTERACTIVE_TOKENS, patience: PATIENCE };
    const kind = { repeatable: true, keyed: false, stream: false };
    scenario.take({ after: 1, action: { kind: 'ask', caller, ...kind, ...question } });
  }
  scenario.simulation.advance(BURST_INTERVAL);
}

function isSound(figures: ResumeFigures): boolean {
  return figures.samples_delivered === figures.samples_asked && figures.violations === 0;
}
