/** Guards against a slow store that counts as one that does not answer watches, and the reverse. */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { maxWatchDuration } from '../../src/fleet/direct-prefixes.js';
import { watchStore } from '../../src/fleet/overdue-watches.js';
import { RoundTripEstimate, timedStore } from '../../src/fleet/round-trip-estimate.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { SharedStore } from '../../src/shared-store/shared-store.js';
import { CHANGE_BOUND } from './relayed-fleet.js';

const PREFIX = 'p/';
const WAIT = 100;

t.test('the timeout follows RFC 6298', async (t) => {
  const estimate = new RoundTripEstimate();
  t.equal(estimate.timeout, 0);
  estimate.note(100);
  t.equal(estimate.timeout, 100 + 4 * 50);
  estimate.note(200);
  t.equal(estimate.timeout, 112.5 + 4 * (0.75 * 50 + 0.25 * 100));
});

t.test('the time for which the store waits for changes is left out', async (t) => {
  const estimate = new RoundTripEstimate();
  const store = timedStore(new SharedStoreEmulator(), estimate, PROCESS_CLOCK);
  await store.watch(PREFIX, 0, 300, new AbortController().signal);
  t.ok(estimate.timeout < 300, `${estimate.timeout} ms`);
});

/** A store on which watches are answered late or never, after other calls took so long. */
async function listsBeside(
  watchTime: number,
  earlierTimes: readonly number[],
): Promise<{ lists: number; isListed: boolean }> {
  const emulator = new SharedStoreEmulator();
  emulator.write(`${PREFIX}a`, 'one');
  let lists = 0;
  const store: Pick<SharedStore, 'watch' | 'range'> = {
    watch: async () => {
      await PROCESS_CLOCK.sleep(watchTime);
      return { kind: 'changes', changes: [], revision: 1 };
    },
    range: (prefix) => {
      lists += 1;
      return emulator.range(prefix);
    },
  };
  const roundTrips = new RoundTripEstimate();
  for (const time of earlierTimes) roundTrips.note(time);
  const { signal } = new AbortController();
  const watch = { store, prefix: PREFIX, after: 1, wait: WAIT, signal };
  const options = { changeBound: CHANGE_BOUND, roundTrips, clock: PROCESS_CLOCK };
  const { listed } = await watchStore({ ...watch, ...options });
  return { lists, isListed: listed !== undefined };
}

t.test('a prefix whose watches stall at a fast store is listed', async (t) => {
  t.same(await listsBeside(5_000, [5, 5, 5]), { lists: 1, isListed: true });
});

t.test('a prefix whose watches are as slow as all calls is not listed', async (t) => {
  t.same(await listsBeside(WAIT + 600, [600, 600, 600]), { lists: 0, isListed: false });
});

t.test(
  'a watch and its answer take the same time together however slow the store is',
  async (t) => {
    const duration = (roundTripTime: number): number =>
      maxWatchDuration(PREFIX, 60_000, {
        boundPrefixes: [PREFIX],
        changeBound: () => CHANGE_BOUND,
        roundTripTime: () => roundTripTime,
      });
    t.equal(duration(0), duration(400) + 400);
    t.ok(duration(5_000) > 0, 'watches do not spin');
  },
);
