/**
 * The store turns single nodes away and serves the others. Nodes that follow it by way of a relay go on
 * to hear of changes, evacuations of zones among them; the relays themselves asked nobody but the store,
 * and heard of none until it served them again.
 */
import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { eventually } from './fleet-fixtures.js';
import { PREFIX, RelayedFleet, watchingRelay } from './relayed-fleet.js';

/**
 * A relay's watch may wait 0.75 of the bound of 2 s on a silent store, its call fails 0.9 s later, and
 * it waits 0.25 s before it asks the others.
 */
const LONGEST_TIME_TO_KNOW = 3_200;

/** Time without a contact after which a gateway may take itself for cut off, at the least. */
const SHORTEST_AGE = 4_000;

const TWO_ZONES = {
  'zone-1-a': 'zone-1',
  'zone-1-b': 'zone-1',
  'zone-1-c': 'zone-1',
  'zone-2-a': 'zone-2',
  'zone-2-b': 'zone-2',
};

async function started(zones: Readonly<Record<string, string>>): Promise<RelayedFleet> {
  const fleet = new RelayedFleet(zones);
  await fleet.start();
  return fleet;
}

/** The longest time without a contact that a node has within some seconds. */
async function oldestContact(fleet: RelayedFleet, node: string): Promise<number> {
  let oldest = 0;
  for (let looks = 0; looks < 140; looks += 1) {
    oldest = Math.max(oldest, fleet.contactAgeOf(node));
    await PROCESS_CLOCK.sleep(50);
  }
  return oldest;
}

t.test('a relay that the store turns away learns of changes from the others', async (t) => {
  const fleet = await started(TWO_ZONES);
  const [relay = ''] = fleet.relays();
  fleet.cutOff(relay);
  const time = await fleet.timeToKnow('changed', [relay]);
  t.ok(time < LONGEST_TIME_TO_KNOW, `known after ${time} ms`);
  const again = await fleet.timeToKnow('changed again', [relay]);
  t.ok(again < LONGEST_TIME_TO_KNOW, `the next one after ${again} ms`);
  fleet.stop();
});

t.test('a relay that is served again follows the store itself', async (t) => {
  const fleet = await started(TWO_ZONES);
  const [relay = ''] = fleet.relays();
  fleet.cutOff(relay);
  await fleet.timeToKnow('changed', [relay]);
  fleet.heal(relay);
  await fleet.timeToKnow('changed again', fleet.names());
  const before = fleet.asked.get('follow-prefix') ?? 0;
  const calls = fleet.watchCalls;
  await PROCESS_CLOCK.sleep(2_500);
  await fleet.timeToKnow('changed once more', [relay]);
  t.ok(fleet.watchCalls > calls, 'both relays watch at the store');
  t.ok((fleet.asked.get('follow-prefix') ?? 0) > before, 'the others still ask relays');
  const lines = fleet.lines.filter(({ node }) => node === relay);
  t.match(lines.at(-1)?.details, { prefix: PREFIX, by: 'store' });
  fleet.stop();
});

t.test('while the store is out for all, relays ask each other and press it no more', async (t) => {
  const fleet = await started(TWO_ZONES);
  fleet.store.setAvailability('refusing');
  for (const name of fleet.names()) fleet.staleLeases.add(name);
  await PROCESS_CLOCK.sleep(2_000);
  const calls = fleet.calls;
  await PROCESS_CLOCK.sleep(4_000);
  const made = fleet.calls - calls;
  t.ok(made <= 4 * fleet.names().length, `${made} calls of five nodes in 4 s`);
  fleet.store.setAvailability('up');
  for (const name of fleet.names()) fleet.staleLeases.delete(name);
  const time = await fleet.timeToKnow('back', fleet.names());
  t.ok(time < LONGEST_TIME_TO_KNOW, `known after ${time} ms`);
  fleet.stop();
});

/**
 * What was seen: a relay was turned away, and while it was, both relays that it knew were replaced by other
 * machines. It asked these two again and again and took itself for cut off, while two more nodes that it
 * knew lived, and one of them had become a relay.
 */
t.test(
  'a node that the store turns away asks others in the place of relays that are gone',
  async (t) => {
    for (const isRelay of [true, false]) {
      const fleet = await started({ ...TWO_ZONES, 'zone-2-c': 'zone-2' });
      const [own = '', far = ''] = fleet.relays();
      const struck = isRelay ? own : (fleet.followers()[0] ?? '');
      for (const relay of fleet.relays()) if (relay !== struck) fleet.silent.add(relay);
      fleet.cutOff(struck);
      await eventually(() => fleet.contactAgeOf(struck) > 1_000);
      const oldest = await oldestContact(fleet, struck);
      t.ok(
        oldest < SHORTEST_AGE,
        `${isRelay ? 'a relay' : 'a follower'}: ${oldest} ms without contact, ${far} gone`,
      );
      fleet.stop();
    }
  },
);

t.test('a relay without another node asks the store alone', async (t) => {
  const fleet = await started({ only: 'zone-1' });
  fleet.cutOff('only');
  await PROCESS_CLOCK.sleep(3_000);
  fleet.heal('only');
  const time = await fleet.timeToKnow('back', ['only']);
  t.ok(time < LONGEST_TIME_TO_KNOW, `known after ${time} ms`);
  fleet.stop();
});

/**
 * What was seen: after an outage of the store two relays began their watches anew, which told nothing for
 * 1.5 s as nothing changed. With the time before that was 3 s without a contact, though the store had
 * renewed their leases meanwhile, and they sent nothing to any worker for 0.4 s.
 */
t.test('a relay is in contact while its watch waits and its lease is renewed', async (t) => {
  let renewalAge = 20;
  const { relay, stop } = await watchingRelay(() => renewalAge);
  await PROCESS_CLOCK.sleep(300);
  t.equal(relay.contactAge(PREFIX), 20);
  renewalAge = 10_000;
  t.ok(relay.contactAge(PREFIX) >= 290, 'since the store told the list');
  t.ok(relay.contactAge(PREFIX) < 5_000);
  stop();
});
