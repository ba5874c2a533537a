/** Guards against data that counts as younger than it is, and against reads of the store for it. */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { DirectPrefixes } from '../../src/fleet/direct-prefixes.js';
import {
  ageOfStoreAnswer,
  ageOnArrival,
  followerLimits,
  maxWait,
  PrefixFreshness,
} from '../../src/fleet/prefix-freshness.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { CHANGE_BOUND, PREFIX, RelayedFleet, watchingRelay } from './relayed-fleet.js';

const REQUEST = { kind: 'follow-prefix', prefix: PREFIX, after: 1 } as const;

/** A relay whose lease was renewed a time before its watch began. */
async function relayRenewedBefore(time: number): ReturnType<typeof watchingRelay> {
  const renewedAt = performance.now() - time;
  return watchingRelay(() => performance.now() - renewedAt);
}

t.test('data ages with the way of an answer and with a suspension', async (t) => {
  const clock = new ManualClock();
  const freshness = new PrefixFreshness(clock);
  t.equal(freshness.age('op/'), Number.POSITIVE_INFINITY);
  freshness.noteReceived('op/', ageOnArrival({ age: 100, heldFor: 200 }, 500, CHANGE_BOUND));
  t.equal(freshness.age('op/'), 400);
  clock.suspended += 1_000;
  freshness.noteReceived('op/', 3_000);
  t.equal(freshness.age('op/'), 1_400, 'older data takes nothing back');
});

t.test('the data of an older build is not taken for current', async (t) => {
  const age = ageOnArrival(undefined, 10, CHANGE_BOUND);
  t.ok(age > 0 && age < followerLimits(CHANGE_BOUND).source);
});

t.test('a request is answered before its sender reads the store', async (t) => {
  const limits = followerLimits(CHANGE_BOUND);
  for (let age = 0; age < limits.store - 50; age += 10) {
    const wait = maxWait(limits, age, CHANGE_BOUND);
    if (wait <= 0 || age + wait >= limits.store) t.fail(`${wait} ms at ${age} ms`);
  }
  t.pass();
});

t.test('a renewal before the watch does not confirm the data', async (t) => {
  const { relay, stop } = await relayRenewedBefore(300);
  await PROCESS_CLOCK.sleep(100);
  const answer = await relay.answer({ ...REQUEST, wait: 50, maxAge: 500 });
  const { age = 0, heldFor = 0 } = 'freshness' in answer ? (answer.freshness ?? {}) : {};
  t.ok(age >= 145 && age < 300, `${age} ms since the list`);
  t.ok(heldFor >= 45 && heldFor < 150, `answered after ${heldFor} ms`);
  stop();
});

t.test('a renewal after the watch confirms the data', async (t) => {
  const { relay, stop } = await watchingRelay(() => 20);
  await PROCESS_CLOCK.sleep(100);
  const answer = await relay.answer({ ...REQUEST, wait: 1, maxAge: 500 });
  t.match(answer, { isCurrent: true, freshness: { age: 20 } });
  stop();
});

t.test('an answer that a frozen relay found on its return does not count as new', async (t) => {
  const store = new SharedStoreEmulator();
  store.write(`${PREFIX}w1`, 'ready');
  let renewalAge = 20;
  const direct = new DirectPrefixes({
    store,
    clock: PROCESS_CLOCK,
    renewalAge: () => renewalAge,
    boundPrefixes: [PREFIX],
    changeBound: () => CHANGE_BOUND,
  });
  await direct.list(PREFIX);
  const watch = direct.watch(PREFIX, 1, 1_000, new AbortController().signal);
  await PROCESS_CLOCK.sleep(300);
  renewalAge = 900;
  store.write(`${PREFIX}w1`, 'busy');
  await watch;
  const answer = await direct.answer({ ...REQUEST, wait: 1, maxAge: 900 });
  const { age = 0 } = 'freshness' in answer ? (answer.freshness ?? {}) : {};
  t.ok(age >= 290, `${age} ms, since the watch was sent`);
});

t.test('a follower that waits is answered once the data is too old for it', async (t) => {
  const { relay, stop } = await relayRenewedBefore(0);
  const startedAt = performance.now();
  const answer = await relay.answer({ ...REQUEST, wait: 900, maxAge: 200 });
  const time = performance.now() - startedAt;
  t.same(answer, { isCurrent: false, isReadingStore: true });
  t.ok(time < 500, `answered after ${time} ms`);
  t.same(relay.answerList({ kind: 'list-prefix', prefix: PREFIX, maxAge: 200 }), {
    isCurrent: false,
  });
  stop();
});

t.test('only the first relay of each region reads the store while nothing fails', async (t) => {
  const zones = ['far-1', 'far-2', 'near-1'];
  const nodes = zones.flatMap((zone) => ['a', 'b', 'c'].map((name) => [`${zone}/${name}`, zone]));
  const fleet = new RelayedFleet(
    Object.fromEntries(nodes),
    { coalesce: 400, renewalInterval: 600 },
    (zone) => zone.split('-')[0] ?? zone,
  );
  await fleet.start();
  // Relays that were requested before they watched are excluded for 2 s.
  await PROCESS_CLOCK.sleep(4_000);
  const before = new Map(fleet.storeCallsByNode);
  for (let change = 0; change < 5; change += 1) {
    fleet.write('w2', `change-${change}`);
    await PROCESS_CLOCK.sleep(1_500);
  }
  const callers = fleet
    .names()
    .filter((name) => (fleet.storeCallsByNode.get(name) ?? 0) > (before.get(name) ?? 0));
  t.equal(callers.length, 2, callers.join(', '));
  fleet.stop();
});

t.test(
  'an answer of the store that a frozen node found on its return does not count as new',
  async (t) => {
    const answer = { duration: 3_000, wait: 1_000, isEmpty: false, renewalAge: 3_500 };
    t.equal(ageOfStoreAnswer(answer), 3_000, 'it may have come right after the watch was sent');
    t.equal(ageOfStoreAnswer({ ...answer, isEmpty: true }), 2_000, 'it came after the wait');
    t.equal(ageOfStoreAnswer({ ...answer, renewalAge: 650 }), 0, 'renewals are regular');
  },
);
