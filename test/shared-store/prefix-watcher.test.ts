import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { PrefixWatcher } from '../../src/shared-store/prefix-watcher.js';
import type { StoreChange } from '../../src/shared-store/shared-store.js';

interface Followed {
  readonly watcher: PrefixWatcher;
  readonly seen: StoreChange[];
  /** Resolves once this many changes were seen. */
  until(count: number): Promise<void>;
}

function follow(store: SharedStoreEmulator, wait = 60_000): Followed {
  const pauses = { coalesce: 1, retryPause: 1, confirmationDelay: 60 };
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

const summary = (changes: readonly StoreChange[]): (string | undefined)[][] =>
  changes.map(({ key, value }) => [key, value]);

t.test('lists what is there, then follows changes and deletions', async (t) => {
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
  t.same(summary(seen), [
    ['a/1', 'one'],
    ['a/2', 'two'],
    ['a/1', undefined],
  ]);
});

t.test('a deletion that happened in forgotten history is told', async (t) => {
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
  t.same(summary(seen.slice(1)), [
    ['a/1', undefined],
    ['a/2', 'two'],
  ]);
});

t.test('a call that a silent store never answers is given up by restart', async (t) => {
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

t.test('a lost store is told once, and its return', async (t) => {
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

/** A store whose watches were cut and hear nothing yet, with one change that they did not tell. */
async function cutWhileDeaf(store: SharedStoreEmulator): Promise<void> {
  store.deafenWatches();
  store.write('a/1', 'unheard');
  store.setAvailability('refusing');
  await new Promise((resolve) => setTimeout(resolve, 5));
  store.setAvailability('up');
}

/** A follower of a store that was cut while its watches were deaf, after it found the change. */
async function followedThroughCut(): Promise<Followed & { readonly store: SharedStoreEmulator }> {
  const store = new SharedStoreEmulator();
  store.write('a/1', 'one');
  const followed = follow(store);
  await followed.until(1);
  await cutWhileDeaf(store);
  await followed.until(2);
  return { ...followed, store };
}

t.test('a change that a cut watch did not tell is found by a list', async (t) => {
  const { watcher, seen } = await followedThroughCut();
  watcher.stop();
  t.equal(seen.at(-1)?.value, 'unheard');
});

t.test('a change made while new watches are still deaf is found by a second list', async (t) => {
  const { watcher, seen, until, store } = await followedThroughCut();
  const listsBefore = store.calls.get('range') ?? 0;
  store.write('a/2', 'later');
  const startedAt = performance.now();
  await until(3);
  watcher.stop();
  t.equal(seen.at(-1)?.value, 'later');
  t.ok(performance.now() - startedAt < 2_000);
  const lists = (store.calls.get('range') ?? 0) - listsBefore;
  t.ok(lists <= 2, `${lists} lists, where the refused ones of the cut do not count`);
});

t.test('a list that is older than what is known takes nothing back', async (t) => {
  const store = new SharedStoreEmulator();
  store.write('a/1', 'one');
  store.write('a/gone', 'old');
  const older = await store.range('a/');
  const real = store.range.bind(store);
  const { watcher, seen, until } = follow(store);
  await until(2);
  store.write('a/2', 'two');
  store.erase('a/gone');
  await until(4);
  store.range = async (prefix) => {
    store.range = real;
    await real(prefix);
    return older;
  };
  store.setAvailability('refusing');
  await new Promise((resolve) => setTimeout(resolve, 5));
  store.setAvailability('up');
  store.write('a/3', 'three');
  await until(5);
  watcher.stop();
  t.same(summary(seen.slice(4)), [['a/3', 'three']]);
});

t.test('pauses after failed calls double, up to a limit', async (t) => {
  const store = new SharedStoreEmulator();
  store.setAvailability('refusing');
  const options = { store, prefix: 'a/', retryPause: 10, longestRetryPause: 80 };
  const watcher = new PrefixWatcher(options);
  void watcher.run();
  await new Promise((resolve) => setTimeout(resolve, 600));
  watcher.stop();
  const calls = store.calls.get('range') ?? 0;
  t.ok(calls >= 6 && calls <= 16, `${calls} calls in 600 ms`);
});
