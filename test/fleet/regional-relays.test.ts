/**
 * A fleet over two regions with the store in one of them. One relay of each zone read the store, so that
 * each change crossed the link once for each zone of the far region.
 */
import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { CHANGE_BOUND, PREFIX, RelayedFleet } from './relayed-fleet.js';

/** Three zones of the far region and one near the store, with three nodes each. */
const ZONES = ['far-1', 'far-2', 'far-3', 'near-1'];
const NODES = Object.fromEntries(
  ZONES.flatMap((zone) => [1, 2, 3].map((number) => [`${zone}/${number}`, zone])),
);
const CHANGES = 10;

function fleetWith(regionOf?: (zone: string) => string): RelayedFleet {
  return new RelayedFleet(NODES, { coalesce: 5, retryPause: 5 }, regionOf);
}

const byName = (zone: string): string => zone.split('-')[0] ?? zone;

/** Calls of the nodes of a region at the store so far. */
function callsFrom(fleet: RelayedFleet, region: string): number {
  const calls = [...fleet.callsBy].filter(([node]) => node.startsWith(region));
  return calls.reduce((sum, [, count]) => sum + count, 0);
}

/** Calls that so many changes cost the far region, once all of its relays have found their way. */
async function costOfChanges(fleet: RelayedFleet): Promise<number> {
  let least = Number.POSITIVE_INFINITY;
  for (let tries = 0; tries < 5; tries += 1) {
    // A relay that was asked before it followed is left alone for two seconds.
    if (tries > 0) await PROCESS_CLOCK.sleep(600);
    const before = callsFrom(fleet, 'far');
    for (let change = 0; change < CHANGES; change += 1) {
      await fleet.timeToKnow(`${tries}-${change}`, fleet.names());
    }
    least = Math.min(least, callsFrom(fleet, 'far') - before);
  }
  return least;
}

/** The relay of the far region that reads the store for the others. */
async function firstOfFar(fleet: RelayedFleet): Promise<string> {
  await costOfChanges(fleet);
  const before = new Map(fleet.callsBy);
  for (let change = 0; change < CHANGES; change += 1) {
    await fleet.timeToKnow(`first-${change}`, fleet.names());
  }
  const grown = (node: string): number => (fleet.callsBy.get(node) ?? 0) - (before.get(node) ?? 0);
  const far = fleet.names().filter((node) => node.startsWith('far'));
  return far.reduce((best, node) => (grown(node) > grown(best) ? node : best));
}

t.test('a change crosses the link to a region once, and not once for each zone', async (t) => {
  const before = fleetWith();
  await before.start();
  const costBefore = await costOfChanges(before);
  before.stop();
  const after = fleetWith(byName);
  await after.start();
  const costAfter = await costOfChanges(after);
  after.stop();
  const costs = `${costBefore} calls for ${CHANGES} changes by zone, ${costAfter} by region`;
  t.comment(costs);
  // Changes that come close together may cost one answer.
  t.ok(costBefore > 2 * CHANGES && costAfter <= CHANGES, costs);
});

t.test('where the first relay falls silent, a change is known in time', async (t) => {
  const fleet = fleetWith(byName);
  await fleet.start();
  const first = await firstOfFar(fleet);
  fleet.silent.add(first);
  const others = fleet.names().filter((node) => node !== first);
  const time = await fleet.timeToKnow('silenced', others);
  t.ok(time < CHANGE_BOUND, `known after ${Math.round(time)} ms`);
  const before = callsFrom(fleet, 'far');
  for (let change = 0; change < CHANGES; change += 1) {
    await fleet.timeToKnow(`later-${change}`, others);
  }
  const cost = callsFrom(fleet, 'far') - before;
  t.ok(cost <= 4 * CHANGES, `${cost} calls: a copy for each zone at most, not for each gateway`);
  fleet.stop();
});

t.test(
  'where the first relay alone is cut off from the store, a change is known in time',
  async (t) => {
    const fleet = fleetWith(byName);
    await fleet.start();
    const first = await firstOfFar(fleet);
    fleet.cutOff(first);
    const others = fleet.names().filter((node) => node !== first);
    const time = await fleet.timeToKnow('cut', others);
    t.ok(time < CHANGE_BOUND, `known after ${Math.round(time)} ms`);
    fleet.stop();
  },
);

t.test('a region that is cut off from the store hears by way of the other', async (t) => {
  const fleet = fleetWith(byName);
  await fleet.start();
  for (const node of fleet.names()) if (node.startsWith('far')) fleet.cutOff(node);
  const time = await fleet.timeToKnow('cut', fleet.followers());
  t.ok(time < 2 * CHANGE_BOUND, `known after ${Math.round(time)} ms`);
  fleet.stop();
});

t.test('a relay that reads by way of another tells no third one', async (t) => {
  const fleet = fleetWith(byName);
  await fleet.start();
  const first = await firstOfFar(fleet);
  const second = fleet.relays().find((node) => node.startsWith('far') && node !== first) ?? '';
  t.notSame(await fleet.askOne(first, { kind: 'list-prefix', prefix: PREFIX, forRelay: true }), {
    isCurrent: false,
  });
  t.same(await fleet.askOne(second, { kind: 'list-prefix', prefix: PREFIX, forRelay: true }), {
    isCurrent: false,
  });
  t.notSame(await fleet.askOne(second, { kind: 'list-prefix', prefix: PREFIX }), {
    isCurrent: false,
  });
  fleet.stop();
});
