/**
 * Guards against owners in several zones that place items on the same workers, and against needless
 * traffic between zones.
 */
import t from 'tap';
import type { ItemNeeds } from '../../src/jobs/item-placement.js';
import { PlacementRound } from '../../src/jobs/placement-round.js';
import { itemDistanceCost } from '../../src/placement/distance-costs.js';
import { topologyWithoutRegions } from '../../src/placement/zone-topology.js';
import { KnownWorker } from '../../src/serving/worker-registry.js';
import { worker } from '../serving/serving-fixtures.js';

const NOW = 10_000;
const SLOTS = 8;
const ZONES = ['zone-0', 'zone-1', 'zone-2'];
const NEEDS: ItemNeeds = {
  model: 'model-a',
  minVersion: 1,
  relativeLength: 1,
  boundVersion: undefined,
};

/** Twelve workers in three zones; `lastInterval` is the event interval of the last zone. */
function createWorkers(lastInterval = 40): KnownWorker[] {
  return Array.from({ length: 12 }, (_, index) => {
    const zone = ZONES[index % 3] ?? '';
    const created = new KnownWorker(worker(`w-${index}`, { slots: SLOTS, zone }));
    created.noteEventInterval(zone === 'zone-2' ? lastInterval : 40);
    return created;
  });
}

/** Places items and returns their counts by worker zone. */
function placeItems(workers: KnownWorker[], items: number, nearZone?: string): number[] {
  const distanceCost =
    nearZone === undefined ? undefined : itemDistanceCost(topologyWithoutRegions(nearZone), true);
  const round = new PlacementRound(workers, NOW, distanceCost);
  const counts = new Map(ZONES.map((zone) => [zone, 0]));
  for (let item = 0; item < items; item += 1) {
    const chosen = round.place(NEEDS, undefined);
    if (chosen === undefined) continue;
    chosen.inFlight += 1;
    const { zone } = chosen.record;
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return [...counts.values()];
}

t.test('items go to the near zone while its workers are not much fuller than others', async (t) => {
  t.same(placeItems(createWorkers(), 14, 'zone-0'), [14, 0, 0]);
  t.same(placeItems(createWorkers(), 14), [5, 5, 4], 'without a near zone: to all zones equally');
});

t.test(
  'items that the near workers cannot run go to other zones, and all are placed',
  async (t) => {
    const [near = 0, ...far] = placeItems(createWorkers(), 60, 'zone-0');
    t.equal(near + (far[0] ?? 0) + (far[1] ?? 0), 60);
    t.ok(near >= 28, `${near} of 32 near slots taken`);
  },
);

t.test('items leave the near zone if its workers are slower by half', async (t) => {
  const counts = placeItems(createWorkers(60), 8, 'zone-2');
  t.equal(counts[2], 0);
});
