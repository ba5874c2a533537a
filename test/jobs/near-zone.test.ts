/**
 * The load: three trainers in three zones, each with more items than their zone's workers have places.
 * Owners of jobs that spread items over all zones met at the same workers (22 of 100 arrivals refused
 * as full on a day at 60 nodes), and all texts crossed between zones.
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

/** Twelve workers in three zones; those of the last zone make events at the given time each. */
function fleet(lastPace = 40): KnownWorker[] {
  return Array.from({ length: 12 }, (_, index) => {
    const zone = ZONES[index % 3] ?? '';
    const made = new KnownWorker(worker(`w-${index}`, { slots: SLOTS, zone }));
    made.noteEventInterval(zone === 'zone-2' ? lastPace : 40);
    return made;
  });
}

/** Places items and counts them by the zone of their workers. */
function placeItems(workers: KnownWorker[], items: number, nearZone?: string): number[] {
  const wayCost =
    nearZone === undefined ? undefined : itemDistanceCost(topologyWithoutRegions(nearZone), true);
  const round = new PlacementRound(workers, NOW, wayCost);
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

t.test(
  'items go to the near zone while its workers are no more than half as full again',
  async (t) => {
    t.same(placeItems(fleet(), 14, 'zone-0'), [14, 0, 0]);
    t.same(placeItems(fleet(), 14), [5, 5, 4], 'without a near zone: to all alike');
  },
);

t.test(
  'more than the near workers can bear goes to the others, and all find a place',
  async (t) => {
    const [near = 0, ...far] = placeItems(fleet(), 60, 'zone-0');
    t.equal(near + (far[0] ?? 0) + (far[1] ?? 0), 60);
    t.ok(near >= 28, `${near} of 32 near places taken`);
  },
);

t.test('a near worker that is slower by half is no reason to stay', async (t) => {
  const counts = placeItems(fleet(60), 8, 'zone-2');
  t.equal(counts[2], 0);
});
