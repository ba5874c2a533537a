import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { WatchRelay } from '../../src/fleet/watch-relay.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { eventually } from './fleet-fixtures.js';
import { PREFIX, RelayedFleet, watchingRelay } from './relayed-fleet.js';

const NODES = ['node-1', 'node-2', 'node-3', 'node-4'];

/** Four nodes of one zone, whose watchers use short delays. */
function zoneFleet(): RelayedFleet {
  const zones = Object.fromEntries(NODES.map((node) => [node, 'zone-1']));
  return new RelayedFleet(zones, { coalesce: 5, retryPause: 5 });
}

async function startZone(): Promise<RelayedFleet> {
  const fleet = zoneFleet();
  await fleet.start();
  return fleet;
}

t.test('a change reaches all nodes of a zone with one call to the store', async (t) => {
  const zone = await startZone();
  let cost = Number.POSITIVE_INFINITY;
  // A relay that was requested before it watched is excluded for a while; then ten changes cost ten
  // answers of the store rather than forty.
  for (let tries = 0; cost > 12 && tries < 40; tries += 1) {
    const callsBefore = zone.watchCalls;
    for (let round = 0; round < 10; round += 1) {
      zone.store.write(`${PREFIX}w1`, `${tries}-${round}`);
      await eventually(() => zone.nodesWith('w1', `${tries}-${round}`).length === NODES.length);
    }
    cost = zone.watchCalls - callsBefore;
    await PROCESS_CLOCK.sleep(100);
  }
  t.ok(cost <= 12, `ten changes cost ${cost} watches`);
  zone.store.erase(`${PREFIX}w1`);
  await eventually(() => zone.nodesWith('w1', 'gone').length === NODES.length);
  zone.stop();
});

t.test('nodes bypass a relay that lost the store', async (t) => {
  const zone = await startZone();
  for (const node of NODES) zone.staleLeases.add(node);
  zone.store.write(`${PREFIX}w1`, 'cut');
  await eventually(() => zone.nodesWith('w1', 'cut').length === NODES.length);
  t.pass();
  zone.stop();
});

t.test('nodes bypass a relay that stops answering', async (t) => {
  const zone = await startZone();
  for (const node of NODES) zone.silent.add(node);
  zone.store.write(`${PREFIX}w1`, 'silence');
  await eventually(() => zone.nodesWith('w1', 'silence').length === NODES.length);
  t.pass();
  zone.stop();
});

t.test('a node that does not watch the store itself is not current', async (t) => {
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
  const request = { kind: 'follow-prefix', prefix: PREFIX, after: 0, wait: 10 } as const;
  t.same(await relay.answer(request), { isCurrent: false });
});

t.test('a follower learns at once that its relay has lost the history', async (t) => {
  const { store, relay, outcome } = await watchingRelay();
  const request = { kind: 'follow-prefix', prefix: PREFIX, after: 1, wait: 10_000 } as const;
  const answer = relay.answer(request);
  store.deafenWatches();
  store.write(`${PREFIX}w1`, 'changed');
  store.compact();
  t.same(await outcome, { kind: 'compacted' });
  const startedAt = performance.now();
  t.same(await answer, { isCurrent: false });
  t.ok(performance.now() - startedAt < 500);
  t.same(await relay.answer(request), { isCurrent: false });
});

t.test('a relay that listed again makes earlier followers list again', async (t) => {
  const { store, relay, outcome } = await watchingRelay();
  store.deafenWatches();
  const listedAt = store.write(`${PREFIX}w1`, 'changed');
  store.compact();
  t.same(await outcome, { kind: 'compacted' });
  const abort = new AbortController();
  await relay.relayedStore().range(PREFIX);
  const next = relay.relayedStore().watch(PREFIX, listedAt, 60_000, abort.signal);
  const request = { kind: 'follow-prefix', prefix: PREFIX, after: 1, wait: 20 } as const;
  const answered = await relay.answer(request);
  t.same(answered, { isCurrent: true, changes: undefined }, 'the follower has to list again');
  const list = relay.answerList({ kind: 'list-prefix', prefix: PREFIX });
  t.match(list, { isCurrent: true, revision: listedAt, items: [{ value: 'changed' }] });
  const current = await relay.answer({ ...request, after: listedAt });
  t.same(current, { isCurrent: true, changes: [], revision: listedAt });
  abort.abort();
  await next;
});

t.test('all nodes of a zone list with one call to the store', async (t) => {
  const zone = await startZone();
  const listsBefore = zone.store.calls.get('range') ?? 0;
  zone.store.deafenWatches();
  zone.store.write(`${PREFIX}w1`, 'forgotten');
  zone.store.compact();
  await eventually(() => zone.nodesWith('w1', 'forgotten').length === NODES.length);
  await PROCESS_CLOCK.sleep(1_200);
  const lists = (zone.store.calls.get('range') ?? 0) - listsBefore;
  t.ok(lists <= 2, `${lists} lists: the relay's own, and its second one a moment later`);
  zone.stop();
});

t.test('followers of a relay that waits for the store do not request the store', async (t) => {
  const zone = await startZone();
  zone.store.setAvailability('refusing');
  const callsBefore = zone.calls;
  await PROCESS_CLOCK.sleep(1_000);
  const calls = zone.calls - callsBefore;
  // The watchers of this test retry after 5 ms: without relays, each node would make about 200
  // calls.
  t.ok(calls < 500, `${calls} calls of four nodes to a store that refuses calls`);
  zone.store.setAvailability('up');
  zone.store.write(`${PREFIX}w1`, 'back');
  await eventually(() => zone.nodesWith('w1', 'back').length === NODES.length);
  zone.stop();
});

t.test('a change of the source is logged with the relays that failed', async (t) => {
  const zone = await startZone();
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
