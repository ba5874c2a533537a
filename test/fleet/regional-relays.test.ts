/**
 * Guards against each zone of a remote region reading the store itself, so that a change crosses
 * the link to the region several times.
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

const regionOfZone = (zone: string): string => zone.split('-')[0] ?? zone;

/** Calls of the nodes of a region to the store so far. */
function callsFrom(fleet: RelayedFleet, region: string): number {
  const calls = [...fleet.storeCallsByNode].filter(([node]) => node.startsWith(region));
  return calls.reduce((sum, [, count]) => sum + count, 0);
}

/**
 * Fewest calls of the far region for {@link CHANGES} changes over several tries, as its relays need
 * some time to settle.
 */
async function costOfChanges(fleet: RelayedFleet): Promise<number> {
  let minimum = Number.POSITIVE_INFINITY;
  for (let tries = 0; tries < 5; tries += 1) {
    // A relay that was requested before it watched is excluded for two seconds.
    if (tries > 0) await PROCESS_CLOCK.sleep(600);
    const before = callsFrom(fleet, 'far');
    for (let change = 0; change < CHANGES; change += 1) {
      await fleet.propagationTime(`${tries}-${change}`, fleet.names());
    }
    minimum = Math.min(minimum, callsFrom(fleet, 'far') - before);
  }
  return minimum;
}

/** The relay of the far region that reads the store for the others. */
async function firstFarRelay(fleet: RelayedFleet): Promise<string> {
  await costOfChanges(fleet);
  const before = new Map(fleet.storeCallsByNode);
  for (let change = 0; change < CHANGES; change += 1) {
    await fleet.propagationTime(`first-${change}`, fleet.names());
  }
  const callsSince = (node: string): number =>
    (fleet.storeCallsByNode.get(node) ?? 0) - (before.get(node) ?? 0);
  const far = fleet.names().filter((node) => node.startsWith('far'));
  return far.reduce((best, node) => (callsSince(node) > callsSince(best) ? node : best));
}

t.test('a change crosses the link to a region once, not once for each zone', async (t) => {
  const fleetWithoutRegions = fleetWith();
  await fleetWithoutRegions.start();
  const costBefore = await costOfChanges(fleetWithoutRegions);
  fleetWithoutRegions.stop();
  const fleetWithRegions = fleetWith(regionOfZone);
  await fleetWithRegions.start();
  const costAfter = await costOfChanges(fleetWithRegions);
  fleetWithRegions.stop();
  const costs = `${costBefore} calls for ${CHANGES} changes by zone, ${costAfter} by region`;
  t.comment(costs);
  // Changes close together may share one answer.
  t.ok(costBefore > 2 * CHANGES && costAfter <= CHANGES, costs);
});

t.test('a change arrives in time when the first relay stops answering', async (t) => {
  const fleet = fleetWith(regionOfZone);
  await fleet.start();
  const firstRelay = await firstFarRelay(fleet);
  fleet.silent.add(firstRelay);
  const others = fleet.names().filter((node) => node !== firstRelay);
  const time = await fleet.propagationTime('silenced', others);
  t.ok(time < CHANGE_BOUND, `received after ${Math.round(time)} ms`);
  const before = callsFrom(fleet, 'far');
  for (let change = 0; change < CHANGES; change += 1) {
    await fleet.propagationTime(`later-${change}`, others);
  }
  const cost = callsFrom(fleet, 'far') - before;
  t.ok(cost <= 4 * CHANGES, `${cost} calls: a copy for each zone at most, not for each gateway`);
  fleet.stop();
});

t.test('a change arrives in time when only the first relay loses the store', async (t) => {
  const fleet = fleetWith(regionOfZone);
  await fleet.start();
  const firstRelay = await firstFarRelay(fleet);
  fleet.blockStore(firstRelay);
  const others = fleet.names().filter((node) => node !== firstRelay);
  const time = await fleet.propagationTime('cut', others);
  t.ok(time < CHANGE_BOUND, `received after ${Math.round(time)} ms`);
  fleet.stop();
});

t.test('a region that lost the store receives changes through the other', async (t) => {
  const fleet = fleetWith(regionOfZone);
  await fleet.start();
  for (const node of fleet.names()) if (node.startsWith('far')) fleet.blockStore(node);
  const time = await fleet.propagationTime('cut', fleet.followers());
  t.ok(time < 2 * CHANGE_BOUND, `received after ${Math.round(time)} ms`);
  fleet.stop();
});

t.test('a relay that reads through another answers followers but no third relay', async (t) => {
  const fleet = fleetWith(regionOfZone);
  await fleet.start();
  const firstRelay = await firstFarRelay(fleet);
  const second = fleet.relays().find((node) => node.startsWith('far') && node !== firstRelay) ?? '';
  t.notSame(
    await fleet.listAnswerOf(firstRelay, { kind: 'list-prefix', prefix: PREFIX, forRelay: true }),
    {
      isCurrent: false,
    },
  );
  t.same(
    await fleet.listAnswerOf(second, { kind: 'list-prefix', prefix: PREFIX, forRelay: true }),
    {
      isCurrent: false,
    },
  );
  t.notSame(await fleet.listAnswerOf(second, { kind: 'list-prefix', prefix: PREFIX }), {
    isCurrent: false,
  });
  fleet.stop();
});
