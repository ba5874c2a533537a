/**
 * Guards against placement that compares every waiting item with every worker of a large fleet,
 * which blocks the owners of jobs.
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

/** A worker that counts its comparisons and version reads. */
class CountingWorker extends KnownWorker {
  static comparisons = 0;
  static versionReads = 0;

  override occupancy(now: number): number {
    CountingWorker.comparisons += 1;
    return super.occupancy(now);
  }

  override versionOf(model: string): number {
    CountingWorker.versionReads += 1;
    return super.versionOf(model);
  }
}

function largeFleet(fields = {}): CountingWorker[] {
  CountingWorker.comparisons = 0;
  CountingWorker.versionReads = 0;
  return Array.from({ length: WORKERS }, (_, index) => {
    const created = new CountingWorker(worker(`w-${index}`, { slots: SLOTS, ...fields }));
    // A third of the workers is slower by a third.
    created.noteEventInterval(index % 3 === 0 ? 52 : 40);
    return created;
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

t.test('many items are placed in a large fleet without comparing every worker', async (t) => {
  const workers = largeFleet();
  const placed = placeAll(new PlacementRound(workers, NOW), ITEMS);
  t.equal(placed.length, ITEMS);
  t.ok(CountingWorker.comparisons <= 70 * ITEMS, `${CountingWorker.comparisons} comparisons`);
  t.ok(workers.every(({ inFlight }) => inFlight <= SLOTS));
  const slow = placed.filter(({ eventInterval }) => eventInterval === 52).length;
  t.ok(slow < ITEMS / 10, `${slow} of ${ITEMS} at slower workers while fast ones are free`);
});

t.test('every slot of a large fleet is found', async (t) => {
  const workers = largeFleet({ slots: 1 });
  t.equal(placeAll(new PlacementRound(workers, NOW), WORKERS + 100).length, WORKERS);
});

t.test('items that no worker can run are searched for once', async (t) => {
  const round = new PlacementRound(largeFleet(), NOW);
  const needs = { ...NEEDS, minVersion: 9 };
  t.equal(placeAll(round, ITEMS, needs).length, 0);
  t.ok(
    CountingWorker.versionReads <= WORKERS,
    `${CountingWorker.versionReads} reads for ${ITEMS} items`,
  );
  t.ok(round.place(NEEDS, undefined) !== undefined, 'other needs are still met');
});

t.test('the worker that has cached the shared prompt is always compared', async (t) => {
  const workers = largeFleet();
  for (const entry of workers) entry.inFlight = 2;
  const promptWorker = workers[WORKERS - 2];
  t.equal(promptWorker?.eventInterval, 40);
  t.equal(new PlacementRound(workers, NOW).place(NEEDS, promptWorker?.record.id), promptWorker);
});

t.test('a penalized worker is the last choice for an item, and a choice', async (t) => {
  const failed = new KnownWorker(worker('failed', { models: [{ name: 'model-a', version: 2 }] }));
  for (const at of [0, 400, 1_200, 2_800]) failed.noteOutcome('failure', NOW - 4_000 + at);
  const sound = new KnownWorker(worker('sound', { models: [{ name: 'model-a', version: 2 }] }));
  t.ok(failed.isPenalized(NOW));
  t.equal(new PlacementRound([failed, sound], NOW).place(NEEDS, 'failed'), sound);
  sound.inFlight = sound.record.slots;
  t.equal(new PlacementRound([failed, sound], NOW).place(NEEDS, undefined), failed);
});
