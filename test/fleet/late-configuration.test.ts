/**
 * Guards against changes arriving later than the change bound at followers of relays that lost the
 * store.
 */
import t, { type Test } from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { maxWatchDuration } from '../../src/fleet/direct-prefixes.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { CHANGE_BOUND, PREFIX, RelayedFleet, watchingRelay } from './relayed-fleet.js';

/** Part of the bound that is reserved for the path from a gateway to its callers. */
const MARGIN = 100;

/** Time after which a relay repeats its watch at the store. */
const RELAY_WATCH_TIME = maxWatchDuration(PREFIX, Number.POSITIVE_INFINITY, {
  boundPrefixes: [PREFIX],
  changeBound: () => CHANGE_BOUND,
});

const ZONES = ['zone-1', 'zone-2', 'zone-3', 'zone-4'];

/** Nodes that read through the relay of their zone. */
async function fourZones(): Promise<RelayedFleet> {
  const names = ZONES.flatMap((zone) =>
    ['a', 'b', 'c'].map((letter) => [`${zone}-${letter}`, zone]),
  );
  const fleet = new RelayedFleet(Object.fromEntries(names));
  await fleet.start();
  await fleet.settled();
  return fleet;
}

/** All nodes that can receive a change. */
function reachableNodes(fleet: RelayedFleet, lost: readonly string[]): string[] {
  return fleet.names().filter((name) => !lost.includes(name));
}

// The fleets mostly wait, so several tests run at a time.
t.jobs = 4;

t.test('relays that lost the store do not delay their followers', async (t) => {
  const fleet = await fourZones();
  const lost = fleet.relays().slice(1);
  for (const relay of lost) fleet.blockStore(relay);
  const time = await fleet.propagationTime('changed', reachableNodes(fleet, lost));
  t.ok(
    time < CHANGE_BOUND - MARGIN,
    `three of four relays without the store: received after ${time} ms`,
  );
  fleet.stop();
});

t.test('followers bypass the relays if all of them lost the store', async (t) => {
  const fleet = await fourZones();
  const lost = fleet.relays();
  for (const relay of lost) fleet.blockStore(relay);
  const time = await fleet.propagationTime('changed', reachableNodes(fleet, lost));
  t.ok(time < CHANGE_BOUND - MARGIN, `all relays without the store: received after ${time} ms`);
  fleet.stop();
});

t.test('relays that stop answering do not delay their followers', async (t) => {
  const fleet = await fourZones();
  const lost = fleet.relays();
  for (const relay of lost) fleet.silent.add(relay);
  const time = await fleet.propagationTime('changed', reachableNodes(fleet, lost));
  t.ok(time < CHANGE_BOUND - MARGIN, `no relay answers: received after ${time} ms`);
  fleet.stop();
});

t.test('a late rejection and an unanswered request share one time budget', async (t) => {
  const fleet = await fourZones();
  const [own, ...others] = fleet.relays();
  const followers = fleet
    .followers()
    .filter((node) => fleet.zoneOf(node) === fleet.zoneOf(own ?? ''));
  fleet.blockStore(own ?? '');
  for (const relay of others) fleet.silent.add(relay);
  const time = await fleet.propagationTime('changed', followers);
  t.ok(time < CHANGE_BOUND - MARGIN, `received after ${time} ms`);
  fleet.stop();
});

for (const refusals of [1, 2]) {
  t.test(`${refusals} refused lists do not delay the followers of silent relays`, async (t) => {
    const fleet = await fourZones();
    const lost = fleet.relays();
    for (const relay of lost) fleet.silent.add(relay);
    for (const node of fleet.followers()) fleet.refusedLists.set(node, refusals);
    const time = await fleet.propagationTime('changed', reachableNodes(fleet, lost));
    t.ok(time < CHANGE_BOUND - MARGIN, `received after ${time} ms`);
    fleet.stop();
  });
}

t.test('a relay that lost the store answers a waiting follower at once', async (t) => {
  // The last renewal of the relay's lease was 0.9 s ago.
  const renewedAt = performance.now() - 900;
  const { relay, stop } = await watchingRelay(() => performance.now() - renewedAt);
  const startedAt = performance.now();
  const request = { kind: 'follow-prefix', prefix: PREFIX, after: 1, wait: 1_000 } as const;
  t.same(await relay.answer(request), { isCurrent: false });
  const time = performance.now() - startedAt;
  t.ok(time < 400, `answered after ${time} ms`);
  stop();
});

t.test('relays that lost the store cost a list and a watch for each follower', async (t) => {
  const fleet = await fourZones();
  for (const relay of fleet.relays()) fleet.blockStore(relay);
  const followers = fleet.followers();
  const before = fleet.calls;
  await fleet.propagationTime('changed', followers);
  const calls = fleet.calls - before;
  t.ok(calls <= 2 * followers.length, `${calls} calls of ${followers.length} followers`);
  fleet.stop();
});

/** Calls of some nodes to the store so far. */
function storeCallsOf(fleet: RelayedFleet, nodes: readonly string[]): number {
  return nodes.reduce((sum, node) => sum + (fleet.storeCallsByNode.get(node) ?? 0), 0);
}

/** Silences the relay of a follower a time after its request began, and makes a change. */
async function changeRelay(t: Test, phase: Milliseconds): Promise<void> {
  const fleet = await fourZones();
  const [own = ''] = fleet.relays();
  const follower = fleet.followers().find((node) => fleet.zoneOf(node) === fleet.zoneOf(own)) ?? '';
  await PROCESS_CLOCK.sleep(phase);
  fleet.silent.add(own);
  const lists = fleet.requestCounts.get('list-prefix') ?? 0;
  const followerCalls = storeCallsOf(fleet, fleet.followers());
  const relayCalls = storeCallsOf(fleet, fleet.relays());
  const startedAt = PROCESS_CLOCK.now();
  const time = await fleet.propagationTime('changed', [follower]);
  const watches = 1 + Math.floor((PROCESS_CLOCK.now() - startedAt) / RELAY_WATCH_TIME);
  t.ok(time < CHANGE_BOUND - MARGIN, `received after ${time} ms`);
  t.equal(fleet.requestCounts.get('list-prefix') ?? 0, lists);
  t.equal(storeCallsOf(fleet, fleet.followers()) - followerCalls, 0, 'no follower calls the store');
  const calls = storeCallsOf(fleet, fleet.relays()) - relayCalls;
  t.ok(calls <= watches * fleet.relays().length, `${calls} calls of relays in ${time} ms`);
  fleet.stop();
}

t.test('a follower that changes its relay continues at its revision, without a list', async (t) => {
  // The request to the silent relay ends early or late, before or after the watches of the others.
  await Promise.all([0, 450, 900].map((phase) => changeRelay(t, phase)));
});
