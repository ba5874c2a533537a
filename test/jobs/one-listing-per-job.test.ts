/**
 * Guards against a position of a job that is answered differently by two gateways, under any mix of
 * repeated submissions, store faults, partitions, restarts and lost disks.
 */
import * as fc from 'fast-check';
import t from 'tap';
import { type Action, MAX_LOST_DISKS, type Mode, REPLICAS, World, ZONES } from './trainer-world.js';
import { ZonesWithStore } from './zones-with-store.js';

/** Index of a node; the first node of each zone more often, so that nodes get several steps. */
const node = fc.constantFrom(0, 0, 0, 2, 2, 2, 4, 4, 1, 3, 5);
const replica = fc.nat(ZONES * REPLICAS - 1);
/** How many steps before the trainer's current one; a caller may still repeat the last one. */
const back = fc.constantFrom(0, 0, 0, 1);
/** Replicas of a zone that restart with empty disks, and one that does not answer. */
const empty = fc.subarray([...Array(REPLICAS).keys()], { maxLength: MAX_LOST_DISKS });
const away = fc.option(fc.nat(REPLICAS - 1));
const MODE: fc.Arbitrary<Mode> = fc.constantFrom(
  'up',
  'up',
  'refusing',
  'silent',
  'late-and-unanswered',
);
/** Times for which callers wait; after a short one, a node rejects what it has only claimed. */
const patience = fc.constantFrom(undefined, undefined, undefined, 0, 60, 400, 1_200);
const ACTION: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({ kind: fc.constant('submit' as const), node, back, patience }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('next-step' as const),
      submissions: fc.array(fc.record({ node, mode: MODE, patience }), {
        minLength: 1,
        maxLength: 3,
      }),
    }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('read-asked' as const), back }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('power-loss' as const),
      zone: fc.nat(ZONES - 1),
      empty,
      away,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('loss-after-acceptance' as const),
      ...{ node, other: node, empty, away },
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('read' as const), node, back }) },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('store' as const),
      node,
      mode: MODE,
    }),
  },
  fc.record({
    kind: fc.constant('store-of-all' as const),
    mode: fc.constantFrom('up' as const, 'silent' as const),
  }),
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('apply-late' as const), node }) },
  fc.record({
    kind: fc.constant('partition' as const),
    zone: fc.nat(ZONES - 1),
    isCut: fc.boolean(),
  }),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('restart-node' as const),
      node,
      listed: fc.constantFrom(REPLICAS, REPLICAS, REPLICAS - 1, 0),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('restart-replica' as const),
      replica,
      disk: fc.constantFrom('kept' as const, 'empty' as const),
    }),
  },
  fc.record({ kind: fc.constant('replica-away' as const), replica, isAway: fc.boolean() }),
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      duration: fc.constantFrom(50, 300, 1_000, 2_500),
    }),
  },
);

/** Steps that nodes accept before the faults, and the actions that follow. */
interface Sequence {
  readonly earlier: readonly number[];
  readonly actions: readonly Action[];
}

const SEQUENCE: fc.Arbitrary<Sequence> = fc.record({
  earlier: fc.array(node, { minLength: 1, maxLength: 4 }),
  actions: fc.array(ACTION, { minLength: 12, maxLength: 40 }),
});

/** Performs a sequence in fresh zones; returns what readers got that contradicts earlier answers. */
async function contradictionsAfter({ earlier, actions }: Sequence): Promise<string[]> {
  const cleanups: (() => unknown)[] = [];
  const scope = { teardown: (cleanup: () => unknown) => void cleanups.push(cleanup) };
  const zones = await ZonesWithStore.open(scope as Pick<typeof t, 'teardown'>, ZONES);
  try {
    const world = new World(zones);
    for (const index of earlier) {
      await world.perform({ kind: 'next-step', submissions: [{ node: index, mode: 'up' }] });
      await zones.run(500);
    }
    for (const action of actions) await world.perform(action);
    return await world.contradictions();
  } finally {
    await zones.close();
    for (const cleanup of cleanups) await cleanup();
  }
}

t.test('every position of a job is answered alike by all gateways', async (t) => {
  const property = fc.asyncProperty(SEQUENCE, async (sequence) => {
    const contradictions = await contradictionsAfter(sequence);
    if (contradictions.length > 0) throw new Error(contradictions.join('\n'));
  });
  // The seed and the path of a failed run are in the message.
  await fc.assert(property, { seed: 51, numRuns: 40, endOnFailure: true });
  t.pass('no answer was contradicted');
});
