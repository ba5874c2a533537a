import fc from 'fast-check';
import t from 'tap';
import { EntryStore } from '../../src/config-feed/entry-store.js';
import type { FeedContent } from '../../src/config-feed/messages.js';

const TOMBSTONES = 4;

function contentOf(store: EntryStore): Record<string, string> {
  return Object.fromEntries([...store.existing()].map(({ key, value }) => [key, value]));
}

t.test('a delta that starts later than the copy does not connect', async (t) => {
  const store = new EntryStore();
  store.apply({ kind: 'snapshot', entries: [] }, 5);
  const entries = [{ key: 'a', value: '1', modRevision: 8 }];
  t.equal(store.apply({ kind: 'delta', fromRevision: 7, entries }, 8), null);
  t.equal(store.revision, 5);
  t.strictSame(store.apply({ kind: 'delta', fromRevision: 4, entries }, 8), ['a']);
  t.strictSame(store.apply({ kind: 'delta', fromRevision: 4, entries }, 8), [], 'a duplicate');
  t.equal(store.modRevisionOf('a'), 8);
});

t.test('a copy made from a snapshot gives no delta from before it', async (t) => {
  const late = new EntryStore();
  late.apply({ kind: 'snapshot', entries: [] }, 1);
  const middle = new EntryStore();
  middle.apply({ kind: 'snapshot', entries: [{ key: 'a', value: '1', modRevision: 3 }] }, 3);
  late.apply({ kind: 'snapshot', entries: [] }, 9);
  middle.apply(late.contentSince(middle.revision), late.revision);
  t.strictSame(contentOf(middle), {}, 'a key that came and went unseen is gone');
});

t.test('copies agree with the service, whatever order content comes in', async () => {
  const write = fc.record({
    key: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'),
    isDelete: fc.boolean(),
  });
  const exchange = fc.record({ from: fc.nat(3), to: fc.nat(3), lag: fc.nat(3) });
  fc.assert(
    fc.property(fc.array(fc.tuple(write, fc.array(exchange)), { maxLength: 40 }), (steps) => {
      const stores = [0, 1, 2, 3].map(() => new EntryStore(TOMBSTONES));
      const truth: Record<string, string>[] = [{}];
      const delayed: { to: number; content: FeedContent; revision: number }[] = [];
      let snapshot = new Map<string, { value: string; modRevision: number }>();
      for (const [{ key, isDelete }, exchanges] of steps) {
        const revision = truth.length;
        snapshot = new Map(snapshot);
        if (isDelete) snapshot.delete(key);
        else snapshot.set(key, { value: `${revision}`, modRevision: revision });
        truth.push(Object.fromEntries([...snapshot].map(([name, { value }]) => [name, value])));
        if (revision % 3 === 1) {
          const entries = [...snapshot].map(([name, entry]) => ({ key: name, ...entry }));
          stores[revision % 2]?.apply({ kind: 'snapshot', entries }, revision);
        }
        for (const { from, to, lag } of exchanges) {
          const [source, target] = [stores[from] as EntryStore, stores[to] as EntryStore];
          const content = source.contentSince(target.revision);
          delayed.push({ to, content, revision: source.revision });
          const due = delayed.splice(0, Math.max(0, delayed.length - lag));
          for (const one of due) {
            const store = stores[one.to] as EntryStore;
            const before = store.revision;
            store.apply(one.content, one.revision);
            if (store.revision < before) throw new Error('a revision went back');
          }
        }
        for (const store of stores) {
          const expected = JSON.stringify(Object.entries(truth[store.revision] ?? {}).sort());
          const held = JSON.stringify(Object.entries(contentOf(store)).sort());
          if (expected !== held) throw new Error(`revision ${store.revision}: ${held}`);
        }
      }
    }),
    { seed: 7, numRuns: 500 },
  );
});
