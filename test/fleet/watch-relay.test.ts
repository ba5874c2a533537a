import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { type RelayFleet, WatchRelay } from '../../src/fleet/watch-relay.js';
import type { PeerOutcome, PeerPort, PeerRequestOf } from '../../src/peers/peer-messages.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { PrefixWatcher } from '../../src/shared-store/prefix-watcher.js';
import type { StoreWatchOutcome } from '../../src/shared-store/shared-store.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { eventually } from './fleet-fixtures.js';

const NODES = ['node-1', 'node-2', 'node-3', 'node-4'];
const PREFIX = 'workers/';

/** Nodes of one zone over one store; each may be cut off from the store or from the others. */
class Zone {
  readonly store = new SharedStoreEmulator();
  readonly renewalAges = new Map(NODES.map((node) => [node, 0]));
  readonly silent = new Set<string>();
  private readonly nodes = new Map<string, { relay: WatchRelay; watcher: PrefixWatcher }>();
  private readonly values = new Map(NODES.map((node) => [node, new Map<string, string>()]));

  constructor() {
    this.store.write(`${PREFIX}w1`, 'ready');
    for (const node of NODES) this.add(node);
  }

  start(): void {
    for (const { watcher } of this.nodes.values()) void watcher.run();
  }

  stop(): void {
    for (const { watcher } of this.nodes.values()) watcher.stop();
  }

  /** Nodes that know the value. */
  knowing(key: string, value: string): string[] {
    return NODES.filter((node) => this.values.get(node)?.get(`${PREFIX}${key}`) === value);
  }

  get watchCalls(): number {
    return this.store.calls.get('watch') ?? 0;
  }

  /** Lists and watches that came to the store. */
  get calls(): number {
    return this.watchCalls + (this.store.calls.get('range') ?? 0);
  }

  private add(node: string): void {
    const fleet: RelayFleet = {
      liveNodes: () => NODES,
      zoneOf: () => 'zone-1',
      addressOf: (asked) => asked,
      renewalAge: () => this.renewalAges.get(node) ?? 0,
    };
    const peers: PeerPort = {
      ask: async (address, request, limit) => {
        if (!this.silent.has(address)) return this.answerAt(address, request);
        await PROCESS_CLOCK.sleep(limit);
        return { kind: 'silent' };
      },
    };
    const relay = new WatchRelay({
      store: this.store,
      peers,
      fleet: () => fleet,
      self: node,
      zone: 'zone-1',
      prefixes: [PREFIX],
      changeBound: () => 2_000,
      clock: PROCESS_CLOCK,
      metrics: new FleetMetrics(),
    });
    const store = relay.relayedStore();
    const watcher = new PrefixWatcher({ store, prefix: PREFIX, coalesce: 5, retryPause: 5 });
    watcher.updates.subscribe(({ changes }) => {
      for (const { key, value } of changes) this.values.get(node)?.set(key, value ?? 'gone');
    });
    this.nodes.set(node, { relay, watcher });
  }

  private async answerAt(
    address: string,
    request: { readonly kind: string },
  ): Promise<PeerOutcome<never>> {
    const relay = this.nodes.get(address)?.relay;
    if (relay === undefined) return { kind: 'refused' };
    const answer =
      request.kind === 'list-prefix'
        ? relay.answerList(request as PeerRequestOf<'list-prefix'>)
        : await relay.answer(request as PeerRequestOf<'follow-prefix'>);
    return { kind: 'answered', answer: answer as never };
  }
}

async function settled(): Promise<Zone> {
  const zone = new Zone();
  zone.start();
  await eventually(() => zone.knowing('w1', 'ready').length === NODES.length);
  // The first questions may come before the relay itself watches.
  zone.store.write(`${PREFIX}w1`, 'busy');
  await eventually(() => zone.knowing('w1', 'busy').length === NODES.length);
  await PROCESS_CLOCK.sleep(20);
  return zone;
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
  for (const node of NODES) zone.renewalAges.set(node, 5_000);
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
  const zone = new Zone();
  const metrics = new FleetMetrics();
  const relay = new WatchRelay({
    store: zone.store,
    peers: { ask: async () => ({ kind: 'refused' }) },
    fleet: () => ({
      liveNodes: () => NODES,
      zoneOf: () => 'zone-1',
      addressOf: (asked) => asked,
      renewalAge: () => 0,
    }),
    self: 'node-1',
    zone: 'zone-1',
    prefixes: [PREFIX],
    changeBound: () => 2_000,
    clock: PROCESS_CLOCK,
    metrics,
  });
  const question = { kind: 'follow-prefix', prefix: PREFIX, after: 0, wait: 10 } as const;
  t.same(await relay.answer(question), { isCurrent: false });
});

/** A relay of its own zone, whose watch from revision 1 waits at the store. */
async function watchingRelay(): Promise<{
  readonly store: SharedStoreEmulator;
  readonly relay: WatchRelay;
  readonly outcome: Promise<StoreWatchOutcome>;
}> {
  const store = new SharedStoreEmulator();
  store.write(`${PREFIX}w1`, 'ready');
  const relay = new WatchRelay({
    store,
    peers: { ask: async () => ({ kind: 'refused' }) },
    fleet: () => ({
      liveNodes: () => ['node-1'],
      zoneOf: () => 'zone-1',
      addressOf: (asked) => asked,
      renewalAge: () => 0,
    }),
    self: 'node-1',
    zone: 'zone-1',
    prefixes: [PREFIX],
    changeBound: () => 2_000,
    clock: PROCESS_CLOCK,
    metrics: new FleetMetrics(),
  });
  await relay.relayedStore().range(PREFIX);
  const outcome = relay.relayedStore().watch(PREFIX, 1, 60_000, new AbortController().signal);
  return { store, relay, outcome };
}

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
