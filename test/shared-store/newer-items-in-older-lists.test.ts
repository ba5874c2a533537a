/** Guards against a list whose pages are no snapshot losing a key that was written again. */
import t from 'tap';
import { PrefixWatcher } from '../../src/shared-store/prefix-watcher.js';
import type {
  SharedStore,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../../src/shared-store/shared-store.js';

t.test('a key that was removed and written again while a list was read', async (t) => {
  const item = (revision: number) => ({ key: 'p/a', value: String(revision), revision });
  const lists: StoreRangeOutcome[] = [
    { kind: 'items', items: [item(5)], revision: 5 },
    // Read from revision 8 on; its last page was read at 12.
    { kind: 'items', items: [item(12)], revision: 8 },
  ];
  const removal = { key: 'p/a', value: undefined, revision: 10 };
  const watches: StoreWatchOutcome[] = [
    { kind: 'changes', changes: [removal], revision: 10 },
    { kind: 'compacted' },
  ];
  const store = {
    range: async () => lists.shift() ?? new Promise<never>(() => {}),
    watch: async () => watches.shift() ?? new Promise<never>(() => {}),
  } as unknown as SharedStore;
  const watcher = new PrefixWatcher({ store, prefix: 'p/', coalesce: 1 });
  const values: (string | undefined)[] = [];
  watcher.updates.subscribe(({ changes }) => values.push(...changes.map(({ value }) => value)));
  void watcher.run();
  await new Promise((resolve) => setTimeout(resolve, 200));
  watcher.stop();
  t.same(values, ['5', undefined, '12']);
});
