import t from 'tap';
import type { StoreChange } from '../../src/shared-store/shared-store.js';
import { WatchLog } from '../../src/shared-store/watch-log.js';

const change = (revision: number): StoreChange => ({ key: `k${revision}`, value: 'v', revision });

function changes(...revisions: number[]) {
  const revision = revisions.at(-1) ?? 0;
  return { kind: 'changes', changes: revisions.map(change), revision } as const;
}

t.test('changes after a revision are told while all of them are kept', async (t) => {
  const log = new WatchLog(10);
  log.take(10, changes(11, 13));
  log.take(13, { kind: 'changes', changes: [], revision: 20 });
  t.equal(log.revision, 20);
  t.same(log.changesAfter(11), [change(13)]);
  t.same(log.changesAfter(20), []);
  t.same(log.changesAfter(25), []);
  t.equal(log.changesAfter(9), undefined);
});

t.test('a watch that begins anew breaks the series', async (t) => {
  const log = new WatchLog(10);
  log.take(10, changes(11));
  log.take(15, changes(16));
  t.equal(log.changesAfter(11), undefined);
  t.same(log.changesAfter(15), [change(16)]);
});

t.test('lost history breaks the series, a failed call does not', async (t) => {
  const log = new WatchLog(10);
  log.take(10, changes(11));
  log.take(11, { kind: 'failed', effect: 'unknown' });
  t.same(log.changesAfter(10), [change(11)]);
  log.take(11, { kind: 'compacted' });
  t.equal(log.changesAfter(10), undefined);
});

t.test('the oldest changes go, and who needs them is told so', async (t) => {
  const log = new WatchLog(0);
  const revisions = Array.from({ length: 1_200 }, (_, index) => index + 1);
  log.take(0, changes(...revisions));
  t.equal(log.changesAfter(100), undefined);
  t.equal(log.changesAfter(200)?.length, 1_000);
});
