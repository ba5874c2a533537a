import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { WatchRelay } from '../../src/fleet/watch-relay.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { eventually } from './fleet-fixtures.js';
import { PREFIX, RelayedFleet, watchingRelay } from './relayed-fleet.js';

const NODES = ['node-1', 'node-2', 'node-3', 'node-4'];

/** Four nodes of one zone, whose watchers pause shortly. */
function zone(): RelayedFleet {
  const zones = Object.fromEntries(NODES.map((node) => [node, 'zone-1']));
  return new RelayedFleet(zones, { coalesce: 5, retryPause: 5 });
}

async function settled(): Promise<RelayedFleet> {
  const fleet = zone();
  await fleet.start();
  return fleet;
}

t.test('a change reaches all nodes of a zone at the price of one', async (t) => {
  const zone = await settled();
  let cost = Number.POSITIVE_INFINITY;
  // A relay that was asked before it watched is left alone for a while; then ten changes cost ten
  // answers of the store and not forty.
  for (let tries = 0; cost > 12 && tries < 40; tries += 1) {
    const before = zone.watchCalls;
    for (let round = 0; round < 10; round += 1) {
      zone.store.write(`${PREFIX}w1`, `${tries}-${round}`);
      await eventually(() => zone.knowing('w1', `${tries}-${round}`).length === NODES.length);
    }
    cost = zone.watchCalls - before;
    await PROCESS_CLOCK.sleep(100);
  }
  t.ok(cost <= 12, `ten changes cost ${cost} watches`);
  zone.store.erase(`${PREFIX}w1`);
  await eventually(() => zone.knowing('w1', 'gone').length === NODES.length);
  zone.stop();
});

t.test('nodes do without a relay that is cut off from the store', async (t) => {
  const zone = await settled();
  for (const node of NODES) zone.staleLeases.add(node);
  zone.store.write(`${PREFIX}w1`, 'cut');
  await eventually(() => zone.knowing('w1', 'cut').length === NODES.length);
  t.pass();
  zone.stop();
});

t.test('nodes do without a relay that falls silent', async (t) => {
  const zone = await settled();
  for (const node of NODES) zone.silent.add(node);
  zone.store.write(`${PREFIX}w1`, 'silence');
  await eventually(() => zone.knowing('w1', 'silence').length === NODES.length);
  t.pass();
  zone.stop();
});

t.test('a node that does not watch the store itself tells nothing', async (t) => {
  const metrics = new FleetMetrics();
  const relay = new WatchRelay({
    store: new SharedStoreEmulator(),
    peers: { request: async () => ({ kind: 'refused' }) },
    fleet: () => ({
      liveNodes: () => NODES,
      zoneOf: () => 'zone-1',
      addressOf: (asked) => asked,
      renewalAge: () => 0,
    }),
    self: 'node-1',
    zone: 'zone-1',
    prefixes: [PREFIX],
    boundPrefixes: [PREFIX],
    changeBound: () => 2_000,
    clock: PROCESS_CLOCK,
    log: { state: () => {} },
    metrics,
  });
  const question = { kind: 'follow-prefix', prefix: PREFIX, after: 0, wait: 10 } as const;
  t.same(await relay.answer(question), { isCurrent: false });
});

t.test('a follower is told at once that its relay has lost the history', async (t) => {
  const { store, relay, outcome } = await watchingRelay();
  const question = { kind: 'follow-prefix', prefix: PREFIX, after: 1, wait: 10_000 } as const;
  const answer = relay.answer(question);
  store.deafenWatches();
  store.write(`${PREFIX}w1`, 'changed');
  store.compact();
  t.same(await outcome, { kind: 'compacted' });
  const startedAt = performance.now();
  t.same(await answer, { isCurrent: false });
  t.ok(performance.now() - startedAt < 500);
  t.same(await relay.answer(question), { isCurrent: false });
});

t.test('a relay that listed anew does not call a follower of before current', async (t) => {
  const { store, relay, outcome } = await watchingRelay();
  store.deafenWatches();
  const listedAt = store.write(`${PREFIX}w1`, 'changed');
  store.compact();
  t.same(await outcome, { kind: 'compacted' });
  const abort = new AbortController();
  await relay.relayedStore().range(PREFIX);
  const next = relay.relayedStore().watch(PREFIX, listedAt, 60_000, abort.signal);
  const question = { kind: 'follow-prefix', prefix: PREFIX, after: 1, wait: 20 } as const;
  const told = await relay.answer(question);
  t.same(told, { isCurrent: true, changes: undefined }, 'the follower has to list anew');
  const list = relay.answerList({ kind: 'list-prefix', prefix: PREFIX });
  t.match(list, { isCurrent: true, revision: listedAt, items: [{ value: 'changed' }] });
  const current = await relay.answer({ ...question, after: listedAt });
  t.same(current, { isCurrent: true, changes: [], revision: listedAt });
  abort.abort();
  await next;
});

t.test('the lists of a whole zone cost the store one', async (t) => {
  const zone = await settled();
  const listsBefore = zone.store.calls.get('range') ?? 0;
  zone.store.deafenWatches();
  zone.store.write(`${PREFIX}w1`, 'forgotten');
  zone.store.compact();
  await eventually(() => zone.knowing('w1', 'forgotten').length === NODES.length);
  await PROCESS_CLOCK.sleep(1_200);
  const lists = (zone.store.calls.get('range') ?? 0) - listsBefore;
  t.ok(lists <= 2, `${lists} lists: the relay's own, and its second one a moment later`);
  zone.stop();
});

t.test(
  'followers of a relay that waits for the store wait too, and do not all ask it',
  async (t) => {
    const zone = await settled();
    zone.store.setAvailability('refusing');
    const callsBefore = zone.calls;
    await PROCESS_CLOCK.sleep(1_000);
    const calls = zone.calls - callsBefore;
    // Pauses of 5 ms in the watchers of this test: without relays some 200 calls for each node.
    t.ok(calls < 500, `${calls} calls of four nodes to a store that refuses`);
    zone.store.setAvailability('up');
    zone.store.write(`${PREFIX}w1`, 'back');
    await eventually(() => zone.knowing('w1', 'back').length === NODES.length);
    zone.stop();
  },
);

t.test('a change of whom a follower hears is logged, with who did not help', async (t) => {
  const zone = await settled();
  const relays = zone.relays();
  for (const node of relays) zone.staleLeases.add(node);
  const lines = (by: string) =>
    zone.lines.filter(({ event, details }) => event === 'prefix-followed' && details.by === by);
  await eventually(() => lines('store').length > 0);
  const [lost] = lines('nobody');
  t.equal(lost?.details.before, relays[0]);
  t.equal(lost?.details.asked, `${relays[0]}:not-current`);
  t.type(lost?.details.unheardMs, 'number');
  zone.stop();
});
