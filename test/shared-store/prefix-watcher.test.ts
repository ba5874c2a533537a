import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { PrefixWatcher } from '../../src/shared-store/prefix-watcher.js';
import type { StoreChange } from '../../src/shared-store/shared-store.js';

interface Followed {
  readonly watcher: PrefixWatcher;
  readonly seen: StoreChange[];
  /** Resolves once the watcher has reported this many changes. */
  until(count: number): Promise<void>;
}

function follow(store: SharedStoreEmulator, wait = 60_000): Followed {
  const pauses = { coalesce: 1, retryPause: 1, relistDelay: 60 };
  const options = { store, prefix: 'a/', ...pauses, wait };
  const watcher = new PrefixWatcher(options);
  const seen: StoreChange[] = [];
  let check = (): void => {};
  watcher.updates.subscribe(({ changes }) => {
    seen.push(...changes);
    check();
  });
  void watcher.run();
  const until = (count: number): Promise<void> =>
    new Promise((resolve) => {
      check = () => {
        if (seen.length >= count) resolve();
      };
      check();
    });
  return { watcher, seen, until };
}

const keysAndValues = (changes: readonly StoreChange[]): (string | undefined)[][] =>
  changes.map(({ key, value }) => [key, value]);

t.test('lists existing keys, then follows changes and deletions', async (t) => {
  const store = new SharedStoreEmulator();
  store.write('a/1', 'one');
  store.write('b/1', 'other prefix');
  const { watcher, seen, until } = follow(store);
  await until(1);
  store.write('a/2', 'two');
  await until(2);
  store.erase('a/1');
  await until(3);
  watcher.stop();
  t.same(keysAndValues(seen), [
    ['a/1', 'one'],
    ['a/2', 'two'],
    ['a/1', undefined],
  ]);
});

t.test('a deletion in compacted history is reported', async (t) => {
  const store = new SharedStoreEmulator();
  store.write('a/1', 'one');
  const { watcher, seen, until } = follow(store);
  await until(1);
  store.setAvailability('silent');
  store.erase('a/1');
  store.write('a/2', 'two');
  store.compact();
  store.setAvailability('up');
  await until(3);
  watcher.stop();
  t.same(keysAndValues(seen.slice(1)), [
    ['a/1', undefined],
    ['a/2', 'two'],
  ]);
});

t.test('restart aborts a call that the store never answers', async (t) => {
  const store = new SharedStoreEmulator();
  const real = store.watch.bind(store);
  let isFirst = true;
  let noteWaiting = (): void => {};
  const isWaiting = new Promise<void>((resolve) => {
    noteWaiting = resolve;
  });
  store.watch = (prefix, after, wait, signal) => {
    if (!isFirst) return real(prefix, after, wait, signal);
    isFirst = false;
    noteWaiting();
    return new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve({ kind: 'failed', effect: 'unknown' }));
    });
  };
  store.write('a/1', 'one');
  const { watcher, until, seen } = follow(store);
  await until(1);
  await isWaiting;
  store.write('a/2', 'two');
  watcher.restart();
  await until(2);
  watcher.stop();
  t.equal(seen.at(-1)?.value, 'two');
});

t.test('the loss and the return of the store are reported once each', async (t) => {
  const store = new SharedStoreEmulator();
  const { watcher, until } = follow(store);
  const health: string[] = [];
  watcher.health.subscribe((state) => health.push(state));
  store.write('a/1', 'one');
  await until(1);
  store.setAvailability('refusing');
  await new Promise((resolve) => setTimeout(resolve, 20));
  store.setAvailability('up');
  store.write('a/2', 'two');
  await until(2);
  watcher.stop();
  t.same(health, ['lost', 'regained']);
});

/** Makes one change that the watches don't report, and then interrupts the connection briefly. */
async function interruptWatches(store: SharedStoreEmulator): Promise<void> {
  store.deafenWatches();
  store.write('a/1', 'unheard');
  store.setAvailability('refusing');
  await new Promise((resolve) => setTimeout(resolve, 5));
  store.setAvailability('up');
}

/** A watcher that has found a change that an interrupted watch did not report. */
async function followThroughOutage(): Promise<Followed & { readonly store: SharedStoreEmulator }> {
  const store = new SharedStoreEmulator();
  store.write('a/1', 'one');
  const followed = follow(store);
  await followed.until(1);
  await interruptWatches(store);
  await followed.until(2);
  return { ...followed, store };
}

t.test('a list finds a change that an interrupted watch did not report', async (t) => {
  const { watcher, seen } = await followThroughOutage();
  watcher.stop();
  t.equal(seen.at(-1)?.value, 'unheard');
});

t.test('a second list finds a change that the new watches do not report yet', async (t) => {
  const { watcher, seen, until, store } = await followThroughOutage();
  const listsBefore = store.calls.get('range') ?? 0;
  store.write('a/2', 'later');
  const startedAt = performance.now();
  await until(3);
  watcher.stop();
  t.equal(seen.at(-1)?.value, 'later');
  t.ok(performance.now() - startedAt < 2_000);
  const lists = (store.calls.get('range') ?? 0) - listsBefore;
  t.ok(lists <= 2, `${lists} lists, not counting those refused during the outage`);
});

t.test('a list older than the known revisions reverts nothing', async (t) => {
  const store = new SharedStoreEmulator();
  store.write('a/1', 'one');
  store.write('a/gone', 'old');
  const older = await store.range('a/');
  const originalRange = store.range.bind(store);
  const { watcher, seen, until } = follow(store);
  await until(2);
  store.write('a/2', 'two');
  store.erase('a/gone');
  await until(4);
  store.range = async (prefix) => {
    store.range = originalRange;
    await originalRange(prefix);
    return older;
  };
  store.setAvailability('refusing');
  await new Promise((resolve) => setTimeout(resolve, 5));
  store.setAvailability('up');
  store.write('a/3', 'three');
  await until(5);
  watcher.stop();
  t.same(keysAndValues(seen.slice(4)), [['a/3', 'three']]);
});

t.test('a list older than the one before restores no removed key', async (t) => {
  const store = new SharedStoreEmulator();
  store.write('a/1', 'one');
  store.write('a/gone', 'old');
  const older = await store.range('a/');
  const originalRange = store.range.bind(store);
  const { watcher, seen, until } = follow(store);
  await until(2);
  store.setAvailability('silent');
  store.erase('a/gone');
  store.compact();
  store.setAvailability('up');
  await until(3);
  store.range = async () => {
    store.range = originalRange;
    return older;
  };
  store.write('a/2', 'two');
  store.compact();
  watcher.restart();
  await until(4);
  watcher.stop();
  t.same(keysAndValues(seen.slice(2)), [
    ['a/gone', undefined],
    ['a/2', 'two'],
  ]);
});

t.test('pauses after failed calls double, up to a limit', async (t) => {
  const store = new SharedStoreEmulator();
  store.setAvailability('refusing');
  const options = { store, prefix: 'a/', retryPause: 10, maxRetryPause: 80 };
  const watcher = new PrefixWatcher(options);
  void watcher.run();
  await new Promise((resolve) => setTimeout(resolve, 600));
  watcher.stop();
  const calls = store.calls.get('range') ?? 0;
  t.ok(calls >= 6 && calls <= 16, `${calls} calls in 600 ms`);
});
