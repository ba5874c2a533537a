import t from 'tap';
import { PrefixMirror } from '../../src/shared-store/prefix-mirror.js';
import type { StoreChange, StoreItem } from '../../src/shared-store/shared-store.js';

const item = (key: string, revision: number): StoreItem => ({ key, value: 'v', revision });
const change = (revision: number): StoreChange => item(`k${revision}`, revision);

t.test('changes after a revision are returned while all of them are retained', async (t) => {
  const mirror = new PrefixMirror({ items: [], revision: 10 });
  t.ok(mirror.applyChanges(10, [change(11), change(13)], 13));
  t.ok(mirror.applyChanges(13, [], 20));
  t.equal(mirror.revision, 20);
  t.same(mirror.changesAfter(11), [change(13)]);
  t.same(mirror.changesAfter(20), []);
  t.same(mirror.changesAfter(25), []);
  t.equal(mirror.changesAfter(9), undefined);
});

t.test('the snapshot combines the list and the changes', async (t) => {
  const mirror = new PrefixMirror({ items: [item('a', 3), item('b', 4)], revision: 10 });
  mirror.applyChanges(10, [{ key: 'a', value: undefined, revision: 11 }, change(12)], 12);
  t.same(mirror.snapshot, { items: [item('b', 4), item('k12', 12)], revision: 12 });
});

t.test('changes that were already applied are not repeated', async (t) => {
  const mirror = new PrefixMirror({ items: [], revision: 10 });
  mirror.applyChanges(10, [change(11)], 11);
  mirror.applyChanges(10, [change(11), change(12)], 12);
  t.same(mirror.changesAfter(10), [change(11), change(12)]);
});

t.test('a watch that starts after the last known revision is rejected', async (t) => {
  const mirror = new PrefixMirror({ items: [], revision: 10 });
  t.notOk(mirror.applyChanges(15, [change(16)], 16));
  t.equal(mirror.revision, 10);
});

t.test('a list without news preserves the retained changes, another one clears them', async (t) => {
  const mirror = new PrefixMirror({ items: [item('a', 3)], revision: 10 });
  mirror.applyChanges(10, [change(11)], 11);
  mirror.applyList({ items: [item('a', 3), item('k11', 11)], revision: 20 });
  t.same(mirror.changesAfter(10), [change(11)]);
  t.equal(mirror.revision, 20);
  mirror.applyList({ items: [item('a', 21)], revision: 22 });
  t.equal(mirror.changesAfter(20), undefined, 'the watch missed a removal');
  mirror.applyList({ items: [], revision: 15 });
  t.same(mirror.snapshot, { items: [item('a', 21)], revision: 22 }, 'an older list is ignored');
});

t.test('the oldest changes are removed, and requests for them fail', async (t) => {
  const mirror = new PrefixMirror({ items: [], revision: 0 });
  const all = Array.from({ length: 1_200 }, (_, index) => change(index + 1));
  mirror.applyChanges(0, all, 1_200);
  t.equal(mirror.changesAfter(100), undefined);
  t.equal(mirror.changesAfter(200)?.length, 1_000);
});
