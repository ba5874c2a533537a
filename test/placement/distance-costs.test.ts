/**
 * Guards against requests and items going to another region while a nearer worker has a free slot.
 */
import t from 'tap';
import type { ItemNeeds } from '../../src/jobs/item-placement.js';
import { PlacementRound } from '../../src/jobs/placement-round.js';
import { itemDistanceCost } from '../../src/placement/distance-costs.js';
import { topologyWithoutRegions, ZoneTopology } from '../../src/placement/zone-topology.js';
import { KnownWorker, WorkerRegistry } from '../../src/serving/worker-registry.js';
import { worker } from '../serving/serving-fixtures.js';

const NOW = 10_000;
const SLOTS = 4;
const SERVICE = 'service';
const TOPOLOGY = new ZoneTopology(
  'north-1',
  new Map([
    ['north-1', 'north'],
    ['north-2', 'north'],
    ['south-1', 'south'],
  ]),
);

/** One worker per zone with this many requests in flight. */
function registryWith(inFlight: Readonly<Record<string, number>>): WorkerRegistry {
  const registry = new WorkerRegistry(undefined, (...zones) => TOPOLOGY.distanceBetween(...zones));
  for (const [zone, count] of Object.entries(inFlight)) {
    registry.put(worker(zone, { zone, slots: SLOTS }));
    const known = registry.get(zone);
    if (known !== undefined) known.inFlight = count;
  }
  return registry;
}

/** Zone of the worker picked for a direct request from `north-1`. */
function pickedFrom(registry: WorkerRegistry, tried: readonly string[] = []): string | undefined {
  return registry.pick(SERVICE, new Set(tried), 'north-1', NOW)?.record.zone;
}

t.test('a direct request goes to the own zone, then the own region, then elsewhere', async (t) => {
  t.equal(pickedFrom(registryWith({ 'south-1': 0, 'north-2': 0, 'north-1': 1 })), 'north-1');
  t.equal(pickedFrom(registryWith({ 'south-1': 0, 'north-2': 0, 'north-1': 2 })), 'north-2');
  t.equal(pickedFrom(registryWith({ 'south-1': 0, 'north-2': 3, 'north-1': 4 })), 'north-1');
  const loads = { 'south-1': 0, 'north-2': SLOTS + 1, 'north-1': SLOTS + 2 };
  t.equal(pickedFrom(registryWith(loads)), 'south-1', 'no free slot in the region');
});

t.test('a retry and a hedge stay in the region while it has a worker not tried', async (t) => {
  const registry = registryWith({ 'south-1': 0, 'north-2': 2, 'north-1': 0 });
  t.equal(pickedFrom(registry, ['north-1']), 'north-2');
  t.equal(pickedFrom(registry, ['north-1', 'north-2']), 'south-1');
});

t.test('a direct request crosses regions when the workers of its region reject', async (t) => {
  const registry = registryWith({ 'south-1': 0, 'north-2': 0, 'north-1': 0 });
  for (const id of ['north-1', 'north-2']) registry.get(id)?.noteOutcome('full', NOW);
  t.equal(pickedFrom(registry), 'south-1');
});

const NEEDS: ItemNeeds = {
  model: 'model-a',
  minVersion: 1,
  relativeLength: 1,
  boundVersion: undefined,
};

/** Places items among two workers per zone with these event intervals, and counts them by zone. */
function placeItems(
  items: number,
  eventIntervals: Readonly<Record<string, number>>,
  needs = NEEDS,
): (zone: string) => number {
  const workers = Object.entries(eventIntervals).flatMap(([zone, eventInterval]) =>
    [1, 2].map((number) => {
      const made = new KnownWorker(worker(`${zone}/${number}`, { zone, slots: SLOTS }));
      made.noteEventInterval(eventInterval);
      return made;
    }),
  );
  const round = new PlacementRound(workers, NOW, itemDistanceCost(TOPOLOGY, false));
  const placed: string[] = [];
  for (let item = 0; item < items; item += 1) {
    const chosen = round.place(needs, undefined);
    if (chosen === undefined) continue;
    chosen.inFlight += 1;
    placed.push(chosen.record.zone);
  }
  return (zone) => placed.filter((name) => name === zone).length;
}

t.test('items spread over the zones of their region until it has no free slot', async (t) => {
  const even = { 'north-1': 40, 'north-2': 40, 'south-1': 40 };
  const near = placeItems(16, even);
  t.same([near('north-1'), near('north-2'), near('south-1')], [8, 8, 0]);
  const more = placeItems(20, even);
  t.same(
    [more('north-1'), more('north-2'), more('south-1')],
    [8, 8, 4],
    'the rest crosses regions',
  );
});

t.test('items cross regions where the nearer workers are much slower', async (t) => {
  const muchSlower = { 'north-1': 100, 'north-2': 100, 'south-1': 40 };
  t.equal(placeItems(2, muchSlower)('south-1'), 2);
  const slower = { 'north-1': 60, 'north-2': 60, 'south-1': 40 };
  t.equal(placeItems(4, slower)('south-1'), 0, 'the distance costs more than the speed gains');
  const long = { ...NEEDS, relativeLength: 3 };
  t.equal(placeItems(2, slower, long)('south-1'), 2, 'a long item gains more');
});

t.test('a nearer worker that reports a full load is passed over', async (t) => {
  const near = new KnownWorker(worker('near', { zone: 'north-2', slots: SLOTS }));
  const far = new KnownWorker(worker('far', { zone: 'south-1', slots: SLOTS }));
  const round = new PlacementRound([near, far], NOW, itemDistanceCost(TOPOLOGY, false));
  near.noteLoad({ running: SLOTS - 1, waiting: 0, slots: SLOTS }, NOW);
  t.equal(round.place(NEEDS, undefined), near);
  near.noteLoad({ running: SLOTS, waiting: 1, slots: SLOTS }, NOW);
  t.equal(round.place(NEEDS, undefined), far);
});

t.test('in one region items have no distance cost, unless zones are autonomous', async (t) => {
  t.equal(itemDistanceCost(topologyWithoutRegions('zone-1'), false), undefined);
  const oneRegion = new ZoneTopology('zone-1', new Map([['zone-1', 'north']]));
  t.equal(itemDistanceCost(oneRegion, false), undefined);
  t.equal(oneRegion.distanceTo('zone-unknown'), 'same-region', 'a zone missing from the settings');
  const byZone = itemDistanceCost(topologyWithoutRegions('zone-1'), true);
  t.same([byZone?.('zone-1'), byZone?.('zone-2')], [0, 0.3]);
});
