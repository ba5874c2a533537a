/**
 * Guards against results that are told and then differ or are gone, because a machine that was
 * reported as empty held them, while other machines lose their disks.
 */
import * as fc from 'fast-check';
import t from 'tap';
import {
  type Action,
  MAX_LOST_DISKS,
  type Mode,
  NODES_PER_ZONE,
  REPLICAS,
  World,
  ZONES,
} from './trainer-world.js';
import { ZonesWithStore } from './zones-with-store.js';

/** Index of a node; the first node of the first zone more often. */
const node = fc.constantFrom(0, 0, 0, 0, 1, 2, 4);
/** Index of a replica; more often of the first zone. */
const replica = fc.constantFrom(0, 1, 2, 0, 1, 2, 3, 6);
const back = fc.constantFrom(0, 0, 0, 1);
const empty = fc.subarray([...Array(REPLICAS).keys()], { maxLength: MAX_LOST_DISKS });
const MODE: fc.Arbitrary<Mode> = fc.constantFrom('up', 'refusing', 'silent', 'late-and-unanswered');
const ACTION: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('drain' as const),
      ...{ replica, coordinator: node },
      informed: fc.subarray([...Array(ZONES * NODES_PER_ZONE).keys()]),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('next-step' as const),
      submissions: fc.array(fc.record({ node, mode: MODE }), { minLength: 1, maxLength: 2 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('submit' as const), node, back }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('read-asked' as const), back }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('store' as const), node, mode: MODE }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('apply-late' as const), node }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('partition' as const),
      zone: fc.nat(ZONES - 1),
      isCut: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('power-loss' as const),
      zone: fc.constantFrom(0, 0, 1),
      empty,
      away: fc.option(fc.nat(REPLICAS - 1)),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      duration: fc.constantFrom(50, 300, 1_000, 2_500),
    }),
  },
);

const SEQUENCE = fc.array(ACTION, { minLength: 10, maxLength: 30 });

t.test('machines that are emptied and removed take no result with them', async (t) => {
  let replacedDisks = 0;
  const property = fc.asyncProperty(SEQUENCE, async (actions) => {
    const cleanups: (() => unknown)[] = [];
    const scope = { teardown: (cleanup: () => unknown) => void cleanups.push(cleanup) };
    const zones = await ZonesWithStore.open(scope as Pick<typeof t, 'teardown'>, ZONES);
    try {
      const world = new World(zones);
      await world.perform({ kind: 'next-step', submissions: [{ node: 0, mode: 'up' }] });
      await zones.run(500);
      for (const action of actions) await world.perform(action);
      replacedDisks += world.replacedDisks;
      const contradictions = await world.contradictions();
      if (contradictions.length > 0) throw new Error(contradictions.join('\n'));
    } finally {
      await zones.close();
      for (const cleanup of cleanups) await cleanup();
    }
  });
  // The seed and the path of a failed run are in the message.
  await fc.assert(property, { seed: 61, numRuns: 20, endOnFailure: true });
  t.ok(replacedDisks > 0, `${replacedDisks} machines were emptied`);
});
