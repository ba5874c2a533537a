/**
 * Guards against missed changes at a relay that the store rejects while it answers other relays.
 */
import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { eventually } from './fleet-fixtures.js';
import { PREFIX, RelayedFleet, watchingRelay } from './relayed-fleet.js';

/**
 * A relay's watch waits up to 0.75 of the bound of 2 s, its call fails 0.9 s later, and it waits
 * 0.25 s before it requests other relays.
 */
const MAX_PROPAGATION_TIME = 3_200;

/** Minimum time without a contact after which a gateway may consider itself partitioned. */
const MIN_PARTITION_AGE = 4_000;

const TWO_ZONES = {
  'zone-1-a': 'zone-1',
  'zone-1-b': 'zone-1',
  'zone-1-c': 'zone-1',
  'zone-2-a': 'zone-2',
  'zone-2-b': 'zone-2',
};

async function startFleet(zones: Readonly<Record<string, string>>): Promise<RelayedFleet> {
  const fleet = new RelayedFleet(zones);
  await fleet.start();
  return fleet;
}

/** The longest time without a contact that a node has within 7 s. */
async function maxContactAge(fleet: RelayedFleet, node: string): Promise<number> {
  let oldest = 0;
  for (let polls = 0; polls < 140; polls += 1) {
    oldest = Math.max(oldest, fleet.contactAgeOf(node));
    await PROCESS_CLOCK.sleep(50);
  }
  return oldest;
}

t.test('a relay that the store rejects receives changes from other relays', async (t) => {
  const fleet = await startFleet(TWO_ZONES);
  const [relay = ''] = fleet.relays();
  fleet.blockStore(relay);
  const time = await fleet.propagationTime('changed', [relay]);
  t.ok(time < MAX_PROPAGATION_TIME, `received after ${time} ms`);
  const secondTime = await fleet.propagationTime('changed again', [relay]);
  t.ok(secondTime < MAX_PROPAGATION_TIME, `the next one after ${secondTime} ms`);
  fleet.stop();
});

t.test('a relay that the store answers again reads the store itself', async (t) => {
  const fleet = await startFleet(TWO_ZONES);
  const [relay = ''] = fleet.relays();
  fleet.blockStore(relay);
  await fleet.propagationTime('changed', [relay]);
  fleet.unblockStore(relay);
  await fleet.propagationTime('changed again', fleet.names());
  const before = fleet.requestCounts.get('follow-prefix') ?? 0;
  const calls = fleet.watchCalls;
  await PROCESS_CLOCK.sleep(2_500);
  await fleet.propagationTime('changed once more', [relay]);
  t.ok(fleet.watchCalls > calls, 'both relays watch at the store');
  t.ok((fleet.requestCounts.get('follow-prefix') ?? 0) > before, 'the others still request relays');
  const lines = fleet.lines.filter(({ node }) => node === relay);
  t.match(lines.at(-1)?.details, { prefix: PREFIX, by: 'store' });
  fleet.stop();
});

t.test(
  'while the store is down for all, relays request each other and rarely the store',
  async (t) => {
    const fleet = await startFleet(TWO_ZONES);
    fleet.store.setAvailability('refusing');
    for (const name of fleet.names()) fleet.staleLeases.add(name);
    await PROCESS_CLOCK.sleep(2_000);
    const calls = fleet.calls;
    await PROCESS_CLOCK.sleep(4_000);
    const made = fleet.calls - calls;
    t.ok(made <= 4 * fleet.names().length, `${made} calls of five nodes in 4 s`);
    fleet.store.setAvailability('up');
    for (const name of fleet.names()) fleet.staleLeases.delete(name);
    const time = await fleet.propagationTime('back', fleet.names());
    t.ok(time < MAX_PROPAGATION_TIME, `received after ${time} ms`);
    fleet.stop();
  },
);

/**
 * Guards against a node that requests the same two terminated relays again while other relays are
 * live.
 */
t.test(
  'a node that the store rejects requests other nodes in place of failed relays',
  async (t) => {
    for (const isRelay of [true, false]) {
      const fleet = await startFleet({ ...TWO_ZONES, 'zone-2-c': 'zone-2' });
      const [own = '', far = ''] = fleet.relays();
      const affected = isRelay ? own : (fleet.followers()[0] ?? '');
      for (const relay of fleet.relays()) if (relay !== affected) fleet.silent.add(relay);
      fleet.blockStore(affected);
      await eventually(() => fleet.contactAgeOf(affected) > 1_000);
      const oldest = await maxContactAge(fleet, affected);
      t.ok(
        oldest < MIN_PARTITION_AGE,
        `${isRelay ? 'a relay' : 'a follower'}: ${oldest} ms without contact, ${far} failed`,
      );
      fleet.stop();
    }
  },
);

t.test('a relay without other nodes requests only the store', async (t) => {
  const fleet = await startFleet({ only: 'zone-1' });
  fleet.blockStore('only');
  await PROCESS_CLOCK.sleep(3_000);
  fleet.unblockStore('only');
  const time = await fleet.propagationTime('back', ['only']);
  t.ok(time < MAX_PROPAGATION_TIME, `received after ${time} ms`);
  fleet.stop();
});

/**
 * Guards against a relay that counts as without contact while its restarted watch waits for a
 * change.
 */
t.test('a relay counts as in contact while its watch waits and its lease is renewed', async (t) => {
  let renewalAge = 20;
  const { relay, stop } = await watchingRelay(() => renewalAge);
  await PROCESS_CLOCK.sleep(300);
  t.equal(relay.contactAge(PREFIX), 20);
  renewalAge = 10_000;
  t.ok(relay.contactAge(PREFIX) >= 290, 'since the list was read');
  t.ok(relay.contactAge(PREFIX) < 5_000);
  stop();
});

/**
 * Guards against a silent relay that uses up the time of a whole list, so that no other node is
 * requested until the store has failed once more.
 */
t.test('a list is requested at other nodes after a relay that did not answer it', async (t) => {
  const fleet = await startFleet({ ...TWO_ZONES, 'zone-2-c': 'zone-2' });
  const affected = fleet.followers().find((node) => fleet.zoneOf(node) === 'zone-1') ?? '';
  const own = fleet.relays().find((node) => fleet.zoneOf(node) === 'zone-1') ?? '';
  // The node follows the relay of the other zone, as its own was requested before it watched.
  for (const relay of fleet.relays()) fleet.silent.add(relay);
  fleet.blockStore(affected);
  const oldest = await maxContactAge(fleet, affected);
  t.ok(oldest < 0.8 * MIN_PARTITION_AGE, `${oldest} ms without contact, ${own} failed`);
  fleet.stop();
});
