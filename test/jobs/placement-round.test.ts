/**
 * What was seen: with 3,003 workers no item of any job began before a day was given up, and changes of
 * the configuration came into force after 3.9 s; lookups were served. Order of events: each item that
 * waited was compared with every worker, for which the median of all paces was sorted anew; one look
 * for 1,600 items took 1.9 s of a whole core, and there is one after each end of a run, so that the
 * few nodes that own jobs did nothing else, and told their followers nothing.
 *
 * Evidence: a third of a core was used to 92.5% at the busiest node; and the counts below, which were
 * 3,003 comparisons an item.
 */
import t from 'tap';
import type { ItemNeeds } from '../../src/jobs/item-placement.js';
import { PlacementRound } from '../../src/jobs/placement-round.js';
import { KnownWorker } from '../../src/serving/worker-registry.js';
import { worker } from '../serving/serving-fixtures.js';

const NOW = 10_000;
const WORKERS = 3_000;
const ITEMS = 1_600;
const SLOTS = 8;
const NEEDS: ItemNeeds = {
  model: 'model-a',
  minVersion: 1,
  relativeLength: 1,
  boundVersion: undefined,
};

/** A worker that counts how often it is looked at. */
class CountingWorker extends KnownWorker {
  static comparisons = 0;
  static looks = 0;

  override occupancy(now: number): number {
    CountingWorker.comparisons += 1;
    return super.occupancy(now);
  }

  override versionOf(model: string): number {
    CountingWorker.looks += 1;
    return super.versionOf(model);
  }
}

function largeFleet(fields = {}): CountingWorker[] {
  CountingWorker.comparisons = 0;
  CountingWorker.looks = 0;
  return Array.from({ length: WORKERS }, (_, index) => {
    const made = new CountingWorker(worker(`w-${index}`, { slots: SLOTS, ...fields }));
    // A third is slower by a third.
    made.noteEventInterval(index % 3 === 0 ? 52 : 40);
    return made;
  });
}

function placeAll(round: PlacementRound, items: number, needs = NEEDS): KnownWorker[] {
  const placed: KnownWorker[] = [];
  for (let item = 0; item < items; item += 1) {
    const chosen = round.place(needs, undefined);
    if (chosen === undefined) continue;
    chosen.inFlight += 1;
    placed.push(chosen);
  }
  return placed;
}

t.test('many items find places in a large fleet without asking every worker', async (t) => {
  const workers = largeFleet();
  const placed = placeAll(new PlacementRound(workers, NOW), ITEMS);
  t.equal(placed.length, ITEMS);
  t.ok(CountingWorker.comparisons <= 70 * ITEMS, `${CountingWorker.comparisons} comparisons`);
  t.ok(workers.every(({ inFlight }) => inFlight <= SLOTS));
  const slow = placed.filter(({ eventInterval: pace }) => pace === 52).length;
  t.ok(slow < ITEMS / 10, `${slow} of ${ITEMS} at slower workers while fast ones are free`);
});

t.test('every place of a large fleet is found', async (t) => {
  const workers = largeFleet({ slots: 1 });
  t.equal(placeAll(new PlacementRound(workers, NOW), WORKERS + 100).length, WORKERS);
});

t.test('items that no worker can run are looked for once', async (t) => {
  const round = new PlacementRound(largeFleet(), NOW);
  const needs = { ...NEEDS, minVersion: 9 };
  t.equal(placeAll(round, ITEMS, needs).length, 0);
  t.ok(CountingWorker.looks <= WORKERS, `${CountingWorker.looks} looks for ${ITEMS} items`);
  t.ok(round.place(NEEDS, undefined) !== undefined, 'other needs are met all the same');
});

t.test('the worker that has read the shared prompt is compared, wherever it stands', async (t) => {
  const workers = largeFleet();
  for (const one of workers) one.inFlight = 2;
  const reader = workers[WORKERS - 2];
  t.equal(reader?.eventInterval, 40);
  t.equal(new PlacementRound(workers, NOW).place(NEEDS, reader?.record.id), reader);
});
