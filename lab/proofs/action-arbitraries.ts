/**
 * How actions are generated: one arbitrary a kind, and weights that say how often each comes.
 */
import fc from 'fast-check';
import type { Milliseconds } from '../../src/core/units.js';
import type { Action, Step } from '../simulation/action.js';

/** Longest pause between two steps. */
export const LONGEST_PAUSE: Milliseconds = 80;

/** Largest position; positions wrap around the plan's lists. */
const position = fc.nat({ max: 99 });

const shortDuration = fc.integer({ min: 100, max: 2_500 });
const longDuration = fc.integer({ min: 2_500, max: 12_000 });
const duration = fc.oneof(
  { weight: 4, arbitrary: shortDuration },
  { weight: 1, arbitrary: longDuration },
);

/** Often long enough for a cut-off zone to lose the freshness of its configuration. */
const isolation = fc.oneof(shortDuration, fc.integer({ min: 6_000, max: 16_000 }));

/** A step's timeout: mostly so long that every sample must arrive, sometimes short. */
const stepTimeout = fc.oneof(
  { weight: 9, arbitrary: fc.constant(3_600_000) },
  { weight: 1, arbitrary: fc.integer({ min: 500, max: 4_000 }) },
);

/** Mostly short; the long ones matter where the engines' answers are long. */
const answerLimit = fc.oneof(
  { weight: 3, arbitrary: fc.integer({ min: 4, max: 48 }) },
  { weight: 1, arbitrary: fc.integer({ min: 300, max: 2_000 }) },
);

const questionLimit = fc.oneof(
  { weight: 3, arbitrary: fc.integer({ min: 1, max: 24 }) },
  { weight: 1, arbitrary: fc.integer({ min: 100, max: 400 }) },
);

/** One arbitrary for each kind of action. */
const ACTIONS = {
  'submit-step': fc.record({
    kind: fc.constant('submit-step' as const),
    trainer: position,
    samples: fc.integer({ min: 1, max: 8 }),
    maxTokens: answerLimit,
    timeout: stepTimeout,
  }),
  'read-again': fc.record({ kind: fc.constant('read-again' as const), trainer: position }),
  'stop-waiting': fc.record({ kind: fc.constant('stop-waiting' as const), trainer: position }),
  ask: fc.record({
    kind: fc.constant('ask' as const),
    caller: position,
    repeatable: fc.boolean(),
    keyed: fc.boolean(),
    stream: fc.boolean(),
    maxTokens: questionLimit,
    patience: fc.integer({ min: 300, max: 4_000 }),
  }),
  'publish-version': fc.record({ kind: fc.constant('publish-version' as const), model: position }),
  'change-zones': fc.record({
    kind: fc.constant('change-zones' as const),
    intent: position,
    without: fc.option(position, { nil: null }),
    cutOffServes: fc.boolean(),
  }),
  race: fc.record({
    kind: fc.constant('race' as const),
    intent: position,
    firstReserve: fc.constantFrom(0, 0.25),
    secondReserve: fc.constantFrom(0.25, 0.5),
  }),
  drain: fc.record({
    kind: fc.constant('drain' as const),
    target: fc.constantFrom('node' as const, 'worker' as const),
    position,
    duration: longDuration,
  }),
  'ask-status': fc.record({ kind: fc.constant('ask-status' as const), node: position }),
  kill: fc.record({ kind: fc.constant('kill' as const), node: position, downtime: duration }),
  stop: fc.record({ kind: fc.constant('stop' as const), node: position, downtime: duration }),
  freeze: fc.record({ kind: fc.constant('freeze' as const), node: position, duration }),
  'clock-rate': fc.record({
    kind: fc.constant('clock-rate' as const),
    node: position,
    rate: fc.integer({ min: 995, max: 1_005 }).map((thousandths) => thousandths / 1_000),
  }),
  'cut-zones': fc.record({
    kind: fc.constant('cut-zones' as const),
    first: position,
    second: position,
    oneWay: fc.boolean(),
    duration,
  }),
  'isolate-zone': fc.record({
    kind: fc.constant('isolate-zone' as const),
    zone: position,
    duration: isolation,
  }),
  'disturb-network': fc.record({
    kind: fc.constant('disturb-network' as const),
    loss: fc.constantFrom(0, 0.01, 0.1, 0.3),
    duplication: fc.constantFrom(0, 0.05, 0.3),
    jitter: fc.constantFrom(1, 20, 200, 1_500),
    duration,
  }),
  'crash-engine': fc.record({
    kind: fc.constant('crash-engine' as const),
    worker: position,
    downtime: duration,
  }),
  'fail-swaps': fc.record({ kind: fc.constant('fail-swaps' as const), worker: position, duration }),
  'worker-leaves': fc.record({
    kind: fc.constant('worker-leaves' as const),
    worker: position,
    sign: fc.constantFrom('report' as const, 'machine-list' as const),
    duration: longDuration,
  }),
  'stop-worker': fc.record({
    kind: fc.constant('stop-worker' as const),
    worker: position,
    sign: fc.constantFrom('report' as const, 'machine-list' as const),
    downtime: duration,
  }),
  'key-value-outage': fc.record({ kind: fc.constant('key-value-outage' as const), duration }),
  'key-value-slow': fc.record({
    kind: fc.constant('key-value-slow' as const),
    slowness: fc.constantFrom(50, 400, 900),
    duration,
  }),
  'key-value-limit': fc.record({
    kind: fc.constant('key-value-limit' as const),
    refusedShare: fc.constantFrom(0.2, 0.8),
    duration,
  }),
  'key-value-lost-answers': fc.record({
    kind: fc.constant('key-value-lost-answers' as const),
    share: fc.constantFrom(0.3, 1),
    duration,
  }),
  'watches-break': fc.record({
    kind: fc.constant('watches-break' as const),
    compact: fc.boolean(),
  }),
  'machine-list-lag': fc.record({
    kind: fc.constant('machine-list-lag' as const),
    lag: fc.integer({ min: 500, max: 4_000 }),
    duration,
  }),
} satisfies { readonly [Kind in Action['kind']]: fc.Arbitrary<Action> };

/** How often each kind of action comes; kinds that are left out never come. */
export type ActionWeights = { readonly [Kind in Action['kind']]?: number };

/** Operations of all clients. */
export const OPERATIONS: ActionWeights = {
  'submit-step': 100,
  'read-again': 20,
  'stop-waiting': 5,
  ask: 350,
  'publish-version': 6,
  race: 8,
  'ask-status': 10,
};

/** Faults of every kind but planned stops and changes of what operators allow. */
export const FAULTS: ActionWeights = {
  kill: 12,
  stop: 4,
  freeze: 10,
  'clock-rate': 3,
  'cut-zones': 6,
  'isolate-zone': 3,
  'disturb-network': 5,
  'crash-engine': 10,
  'fail-swaps': 5,
  'key-value-outage': 3,
  'key-value-slow': 3,
  'key-value-limit': 3,
  'key-value-lost-answers': 4,
  'watches-break': 3,
  'machine-list-lag': 3,
};

/** Steps with actions of the given weights. */
export function steps(
  weights: ActionWeights,
  longestPause: Milliseconds = LONGEST_PAUSE,
): fc.Arbitrary<Step> {
  const kinds = Object.keys(weights) as Action['kind'][];
  const weighted = kinds.map((kind) => ({
    weight: weights[kind] ?? 0,
    arbitrary: ACTIONS[kind] as fc.Arbitrary<Action>,
  }));
  return fc.record({ after: fc.nat({ max: longestPause }), action: fc.oneof(...weighted) });
}
