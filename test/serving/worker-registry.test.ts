import t from 'tap';
import { KnownWorker } from '../../src/serving/worker-registry.js';
import { worker } from './serving-fixtures.js';

/** Duration of the penalty after a rejection at `now`. */
function penaltyOf(known: KnownWorker, now: number): number {
  known.noteOutcome('full', now);
  let duration = 0;
  while (known.isPenalized(now + duration)) duration += 1;
  return duration;
}

t.test('consecutive rejections double the penalty up to the maximum', async (t) => {
  const known = new KnownWorker(worker('w1'));
  const penalties = [0, 1_000, 2_000, 3_000, 4_000].map((now) => penaltyOf(known, now));
  t.same(penalties, [100, 200, 400, 800, 800]);
});

t.test('simultaneous rejections count once, and an answer clears the penalty', async (t) => {
  const known = new KnownWorker(worker('w1'));
  for (let request = 0; request < 8; request += 1) known.noteOutcome('full', 50);
  t.notOk(known.isPenalized(150));
  known.noteOutcome('success', 160);
  t.equal(penaltyOf(known, 200), 100);
});

t.test('a penalty excludes a worker from items for a second at most', async (t) => {
  const known = new KnownWorker(worker('w'));
  for (const at of [0, 400, 1_200, 2_800]) known.noteOutcome('failure', at);
  t.ok(known.isPenalized(5_999));
  t.notOk(known.hasFreeSlot(3_799));
  t.ok(known.hasFreeSlot(3_800));
  known.noteOutcome('failure', 3_800);
  t.notOk(known.hasFreeSlot(4_799), 'each failed try excludes it anew');
  t.ok(known.hasFreeSlot(4_800));
});
