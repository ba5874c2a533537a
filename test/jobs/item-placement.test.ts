import t from 'tap';
import {
  type ItemNeeds,
  isFaster,
  isSlow,
  medianEventInterval,
} from '../../src/jobs/item-placement.js';
import { PlacementRound } from '../../src/jobs/placement-round.js';
import { KnownWorker } from '../../src/serving/worker-registry.js';
import { worker } from '../serving/serving-fixtures.js';

const NOW = 10_000;
const NEEDS: ItemNeeds = {
  model: 'model-a',
  minVersion: 1,
  relativeLength: 1,
  boundVersion: undefined,
};

function placeItem(
  workers: readonly KnownWorker[],
  needs: ItemNeeds,
  sharedPromptWorker: string | undefined,
  now: number,
): KnownWorker | undefined {
  return new PlacementRound(workers, now).place(needs, sharedPromptWorker);
}

function known(id: string, eventInterval: number, fields = {}): KnownWorker {
  const created = new KnownWorker(worker(id, fields));
  created.noteEventInterval(eventInterval);
  return created;
}

t.test('the faster worker is chosen, until it is full', async (t) => {
  const fast = known('fast', 40);
  const slow = known('slow', 120);
  t.equal(placeItem([slow, fast], NEEDS, undefined, NOW), fast);
  fast.inFlight = 4;
  t.equal(placeItem([slow, fast], NEEDS, undefined, NOW), slow);
});

t.test('of equal workers the emptier one, or the one that read the shared prompt', async (t) => {
  const firstWorker = known('one', 40);
  const secondWorker = known('two', 40);
  firstWorker.inFlight = 2;
  t.equal(placeItem([firstWorker, secondWorker], NEEDS, undefined, NOW), secondWorker);
  firstWorker.inFlight = 1;
  t.equal(placeItem([firstWorker, secondWorker], NEEDS, 'one', NOW), firstWorker);
});

t.test('a long item avoids a slower worker, a short one takes the emptier one', async (t) => {
  const usual = known('usual', 50, { slots: 8 });
  const slower = known('slower', 64, { slots: 8 });
  usual.inFlight = 5;
  t.equal(placeItem([usual, slower], { ...NEEDS, relativeLength: 4 }, undefined, NOW), usual);
  t.equal(placeItem([usual, slower], { ...NEEDS, relativeLength: 0.3 }, undefined, NOW), slower);
  usual.inFlight = 8;
  t.equal(placeItem([usual, slower], { ...NEEDS, relativeLength: 4 }, undefined, NOW), slower);
});

t.test('workers that are draining, have failed or have other weights are skipped', async (t) => {
  const leaving = known('leaving', 40, { draining: true });
  const failed = known('failed', 40);
  failed.noteOutcome('failure', NOW);
  const old = known('old', 40, { models: [{ name: 'model-a', version: 2 }] });
  const needs = { ...NEEDS, minVersion: 3 };
  t.equal(placeItem([leaving, failed, old], needs, undefined, NOW), undefined);
  old.noteVersion('model-a', 3);
  t.equal(placeItem([leaving, failed, old], needs, undefined, NOW), old);
  t.equal(placeItem([old], { ...needs, boundVersion: 4 }, undefined, NOW), undefined);
});

t.test('a worker is slow only relative to the others', async (t) => {
  const workers = [known('a', 40), known('b', 44), known('c', 150)];
  const median = medianEventInterval(workers);
  t.same(
    workers.map((entry) => isSlow(entry, median)),
    [false, false, true],
  );
});

t.test(
  'a worker is faster only by a margin, and only if both event intervals are known',
  async (t) => {
    t.ok(isFaster(known('fast', 40), known('slow', 52)));
    t.notOk(isFaster(known('fast', 48), known('slow', 52)));
    t.notOk(isFaster(new KnownWorker(worker('new')), known('slow', 52)));
    t.notOk(isFaster(known('fast', 40), new KnownWorker(worker('new'))));
  },
);

t.test('a few pauses do not make a worker slow, sustained slowness does', async (t) => {
  const paused = known('paused', 50);
  for (let sample = 0; sample < 10; sample += 1) paused.noteEventInterval(900);
  t.notOk(isSlow(paused, 50));
  for (let sample = 0; sample < 30; sample += 1) paused.noteEventInterval(175);
  t.ok(isSlow(paused, 50));
});
