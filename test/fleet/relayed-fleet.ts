/**
 * Nodes of several zones over one store, for tests; each may lose the store, stop answering, hang,
 * freeze, terminate, or have an outdated list of the fleet.
 */
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { RelayFleet } from '../../src/fleet/relay-choice.js';
import { currentAnswer, type RelayRequestKind } from '../../src/fleet/relay-requests.js';
import { WatchRelay } from '../../src/fleet/watch-relay.js';
import type { PeerOutcome, PeerPort, PeerRequestOf } from '../../src/peers/peer-messages.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { PrefixWatcher, type PrefixWatcherOptions } from '../../src/shared-store/prefix-watcher.js';
import type { SharedStore, StoreWatchOutcome } from '../../src/shared-store/shared-store.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { eventually } from './fleet-fixtures.js';
import { StallMeter } from './stall-meter.js';

/** The prefix that all nodes watch. */
export const PREFIX = 'workers/';

/** Time within which a change must take effect at all nodes. */
export const CHANGE_BOUND: Milliseconds = 2_000;

/** Timeout of calls, as in the store's client. */
const CALL_TIMEOUT: Milliseconds = 900;

/** Time until a thawed node has renewed its lease. */
const RENEWAL_TIME: Milliseconds = 20;

/** A line of a node's log. */
export interface LoggedState {
  readonly node: string;
  readonly event: string;
  readonly details: Readonly<Record<string, unknown>>;
}

interface RelayedNode {
  readonly zone: string;
  readonly relay: WatchRelay;
  readonly watcher: PrefixWatcher;
  readonly values: Map<string, string>;
  readonly receivedAt: Map<string, Milliseconds>;
}

interface Delays extends Pick<PrefixWatcherOptions, 'coalesce' | 'retryPause'> {
  /** Time between renewals of a node's lease. @default the lease is always just renewed */
  readonly renewalInterval?: Milliseconds;
}

/** A node that does not run until it is thawed. */
interface FrozenNode {
  readonly since: Milliseconds;
  readonly thawed: Promise<void>;
  readonly thaw: () => void;
}

export class RelayedFleet {
  readonly store = new SharedStoreEmulator();
  /** Nodes that do not answer other nodes. */
  readonly silent = new Set<string>();
  /** Nodes whose watches the store does not answer, although it answers all other calls. */
  readonly withoutWatches = new Set<string>();
  /** How many of each node's next lists the store refuses. */
  readonly refusedLists = new Map<string, number>();
  /** Nodes whose last lease renewal is too old, though the store answers them. */
  readonly staleLeases = new Set<string>();
  readonly lines: LoggedState[] = [];
  /** Requests to relays, by kind. */
  readonly requestCounts = new Map<string, number>();
  /** Lists and watches of each node at the store. */
  readonly storeCallsByNode = new Map<string, number>();
  /** The node, or the store, that last answered a list or watch of each node. */
  private readonly sources = new Map<string, string>();
  private readonly nodes = new Map<string, RelayedNode>();
  private readonly storeBlockedSince = new Map<string, Milliseconds>();
  private readonly frozen = new Map<string, FrozenNode>();
  /** The last time for which each node renewed no lease as it was frozen. */
  private readonly freezes = new Map<string, { readonly from: number; readonly to: number }>();
  private readonly terminated = new Set<string>();
  /** Nodes that the list of a node lacks. */
  private readonly unlisted = new Map<string, ReadonlySet<string>>();
  private silencedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    /** The zone of each node. */
    zones: Readonly<Record<string, string>>,
    private readonly delays: Delays = {},
    /** The region of a zone, where the fleet spans several. */
    private readonly regionOf?: (zone: string) => string,
  ) {
    this.store.write(`${PREFIX}w1`, 'ready');
    for (const [node, zone] of Object.entries(zones)) this.add(node, zone);
  }

  /** Starts all nodes; resolves once all of them receive changes. */
  async start(): Promise<void> {
    for (const { watcher } of this.nodes.values()) void watcher.run();
    await this.allReceive('w1', 'ready');
    // The first requests may arrive before the relay itself watches.
    this.store.write(`${PREFIX}w1`, 'busy');
    await this.allReceive('w1', 'busy');
    await PROCESS_CLOCK.sleep(20);
  }

  stop(): void {
    for (const { watcher } of this.nodes.values()) watcher.stop();
  }

  /**
   * Resolves once each follower is answered by a relay of its zone. Relays that were requested
   * before they watched are excluded at first.
   */
  async settled(): Promise<void> {
    await eventually(() =>
      this.followers().every((node) => {
        const source = this.sources.get(node) ?? '';
        return this.relays().includes(source) && this.zoneOf(source) === this.zoneOf(node);
      }),
    );
  }

  relays(): string[] {
    return this.names().filter((name) => this.nodes.get(name)?.relay.isRelay === true);
  }

  /** The nodes that read through relays. */
  followers(): string[] {
    return this.names().filter((name) => this.nodes.get(name)?.relay.isRelay === false);
  }

  names(): string[] {
    return [...this.nodes.keys()];
  }

  zoneOf(node: string): string | undefined {
    return this.nodes.get(node)?.zone;
  }

  /** The store stops answering this node, just after it renewed its lease. */
  blockStore(node: string): void {
    this.storeBlockedSince.set(node, PROCESS_CLOCK.now());
  }

  /** The store answers this node again, and renews its lease. */
  unblockStore(node: string): void {
    this.storeBlockedSince.delete(node);
  }

  /** Stops a node for a time, like a machine that does not schedule its process. */
  freeze(node: string): void {
    let thaw = (): void => {};
    const thawed = new Promise<void>((resolve) => {
      thaw = resolve;
    });
    this.frozen.set(node, { since: PROCESS_CLOCK.now(), thawed, thaw });
  }

  /** Continues a frozen node; it handles what it received meanwhile before it renews its lease. */
  thaw(node: string): void {
    const now = PROCESS_CLOCK.now();
    const { since: from = now } = this.frozen.get(node) ?? {};
    this.freezes.set(node, { from, to: now + RENEWAL_TIME });
    this.frozen.get(node)?.thaw();
    this.frozen.delete(node);
  }

  /** Ends the process of a node; the lists of the others still contain the node. */
  terminate(node: string): void {
    this.terminated.add(node);
    this.nodes.get(node)?.watcher.stop();
  }

  /** Removes nodes from the list that one node has of the fleet. */
  outdateList(node: string, unlisted: readonly string[]): void {
    this.unlisted.set(node, new Set(unlisted));
  }

  /** Stalls the connections on which watches wait now; all other calls are answered. */
  silenceOpenWatches(): void {
    this.silencedAt = PROCESS_CLOCK.now();
  }

  /** Nodes that have received the value. */
  nodesWith(key: string, value: string): string[] {
    return this.names().filter(
      (node) => this.nodes.get(node)?.values.get(`${PREFIX}${key}`) === value,
    );
  }

  async allReceive(key: string, value: string, nodes = this.names()): Promise<void> {
    await eventually(() => nodes.every((node) => this.nodesWith(key, value).includes(node)));
  }

  /**
   * Writes a change; resolves to the time until the last of the nodes received it, without the time
   * in which this process did not run.
   */
  async propagationTime(value: string, nodes: readonly string[]): Promise<Milliseconds> {
    const stallMeter = new StallMeter();
    const startedAt = PROCESS_CLOCK.now();
    this.store.write(`${PREFIX}w1`, value);
    await this.allReceive('w1', value, [...nodes]).finally(() => stallMeter.stop());
    const times = nodes.map((node) => {
      const receivedAt = this.nodes.get(node)?.receivedAt.get(value) ?? 0;
      return receivedAt - startedAt - stallMeter.stalledWithin(startedAt, receivedAt);
    });
    return Math.max(...times);
  }

  /** Writes a change with a value that no other change has. */
  write(key: string, value: string): Milliseconds {
    this.store.write(`${PREFIX}${key}`, value);
    return PROCESS_CLOCK.now();
  }

  /** When a node received a value; infinite if it did not. */
  receivedAt(node: string, value: string): Milliseconds {
    return this.nodes.get(node)?.receivedAt.get(value) ?? Number.POSITIVE_INFINITY;
  }

  /** Time since a node's last contact about the prefix. */
  contactAgeOf(node: string): Milliseconds {
    return this.nodes.get(node)?.relay.contactAge(PREFIX) ?? Number.POSITIVE_INFINITY;
  }

  listAnswerOf(node: string, request: PeerRequestOf<'list-prefix'>): unknown {
    return this.nodes.get(node)?.relay.answerList(request);
  }

  get watchCalls(): number {
    return this.store.calls.get('watch') ?? 0;
  }

  /** Lists and watches at the store. */
  get calls(): number {
    return this.watchCalls + (this.store.calls.get('range') ?? 0);
  }

  private add(node: string, zone: string): void {
    const fleet: RelayFleet = {
      liveNodes: () => this.listOf(node),
      zoneOf: (asked) => this.zoneOf(asked),
      addressOf: (asked) => asked,
      renewalAge: () => this.renewalAge(node),
    };
    const relay = new WatchRelay({
      store: this.storeOf(node),
      peers: this.peersOf(node),
      fleet: () => fleet,
      self: node,
      zone,
      regionOf: this.regionOf,
      prefixes: [PREFIX],
      boundPrefixes: [PREFIX],
      changeBound: () => CHANGE_BOUND,
      clock: PROCESS_CLOCK,
      log: { state: (event, details = {}) => this.lines.push({ node, event, details }) },
      metrics: new FleetMetrics(),
    });
    const watcher = new PrefixWatcher({
      store: relay.relayedStore(),
      prefix: PREFIX,
      ...this.delays,
    });
    const values = new Map<string, string>();
    const receivedAt = new Map<string, Milliseconds>();
    watcher.updates.subscribe(({ changes }) => {
      for (const { key, value = 'gone' } of changes) {
        values.set(key, value);
        receivedAt.set(value, PROCESS_CLOCK.now());
      }
    });
    this.nodes.set(node, { zone, relay, watcher, values, receivedAt });
  }

  private listOf(node: string): string[] {
    const unlisted = this.unlisted.get(node);
    return this.names().filter((name) => unlisted?.has(name) !== true);
  }

  private renewalAge(node: string): Milliseconds {
    if (this.staleLeases.has(node)) return Number.POSITIVE_INFINITY;
    const now = PROCESS_CLOCK.now();
    const blockedSince = this.storeBlockedSince.get(node) ?? now;
    const frozenSince = this.frozen.get(node)?.since ?? now;
    return now - this.lastRenewalBefore(node, Math.min(blockedSince, frozenSince));
  }

  /** The last renewal of a node that renewed its lease until a time. */
  private lastRenewalBefore(node: string, time: Milliseconds): Milliseconds {
    const { renewalInterval = 0 } = this.delays;
    if (renewalInterval === 0) return time;
    // Nodes renew their leases at different times.
    const phase = (renewalInterval * this.names().indexOf(node)) / this.nodes.size;
    const lastBefore = (end: Milliseconds): Milliseconds =>
      phase + Math.floor((end - phase) / renewalInterval) * renewalInterval;
    const freeze = this.freezes.get(node);
    if (freeze === undefined || time < freeze.from) return lastBefore(time);
    return time < freeze.to ? lastBefore(freeze.from) : Math.max(freeze.to, lastBefore(time));
  }

  /** The store with the failures simulated for one node. */
  private storeOf(node: string): SharedStore {
    const store = this.store;
    const unanswered = async (wait: Milliseconds) => {
      await PROCESS_CLOCK.sleep(Math.max(0, wait));
      return { kind: 'failed', effect: 'unknown' } as const;
    };
    const isBlocked = (): boolean => this.storeBlockedSince.has(node);
    const noteCall = (): void =>
      void this.storeCallsByNode.set(node, (this.storeCallsByNode.get(node) ?? 0) + 1);
    return {
      get: (key) => store.get(key),
      range: async (prefix) => {
        await this.whileFrozen(node);
        noteCall();
        const refused = this.refusedLists.get(node) ?? 0;
        this.refusedLists.set(node, refused - 1);
        if (refused > 0) return { kind: 'failed', effect: 'not-done' };
        const outcome = await (isBlocked() ? unanswered(CALL_TIMEOUT) : store.range(prefix));
        await this.whileFrozen(node);
        if (outcome.kind !== 'failed') this.sources.set(node, 'store');
        return outcome;
      },
      watch: async (prefix, after, wait, signal) => {
        await this.whileFrozen(node);
        noteCall();
        if (isBlocked()) return unanswered(CALL_TIMEOUT);
        const startedAt = PROCESS_CLOCK.now();
        const outcome = await store.watch(prefix, after, wait, signal);
        await this.whileFrozen(node);
        const isLost = isBlocked() || startedAt < this.silencedAt || this.withoutWatches.has(node);
        if (!isLost) this.sources.set(node, 'store');
        if (!isLost || signal.aborted) return outcome;
        // The answer is lost on the way; the caller's own limit ends the call.
        return unanswered(startedAt + wait + CALL_TIMEOUT - PROCESS_CLOCK.now());
      },
      commit: (commit) => store.commit(commit),
      grantLease: (ttl) => store.grantLease(ttl),
      renewLease: (lease) => store.renewLease(lease),
      revokeLease: (lease) => store.revokeLease(lease),
    };
  }

  private peersOf(sender: string): PeerPort {
    return {
      request: async (address, request, limit) => {
        await this.whileFrozen(sender);
        this.requestCounts.set(request.kind, (this.requestCounts.get(request.kind) ?? 0) + 1);
        const startedAt = PROCESS_CLOCK.now();
        const timeLimit = PROCESS_CLOCK.sleep(limit);
        const answer = this.silent.has(address) ? undefined : this.answerAt(address, request);
        const outcome = await Promise.race([answer ?? timeLimit, timeLimit]);
        await this.whileFrozen(sender);
        // A node that was silenced meanwhile does not answer earlier requests either.
        if (outcome !== undefined && !this.silent.has(address)) {
          this.noteAnswer(sender, address, outcome);
          return outcome;
        }
        await PROCESS_CLOCK.sleep(Math.max(0, startedAt + limit - PROCESS_CLOCK.now()));
        return { kind: 'silent' };
      },
    };
  }

  private noteAnswer(
    sender: string,
    address: string,
    outcome: PeerOutcome<RelayRequestKind>,
  ): void {
    if (currentAnswer(outcome) !== undefined) this.sources.set(sender, address);
  }

  private async whileFrozen(node: string): Promise<void> {
    await this.frozen.get(node)?.thawed;
  }

  private async answerAt(
    address: string,
    request: { readonly kind: string },
  ): Promise<PeerOutcome<never>> {
    await this.whileFrozen(address);
    const relay = this.nodes.get(address)?.relay;
    if (relay === undefined || this.terminated.has(address)) return { kind: 'refused' };
    const answer =
      request.kind === 'list-prefix'
        ? relay.answerList(request as PeerRequestOf<'list-prefix'>)
        : await relay.answer(request as PeerRequestOf<'follow-prefix'>);
    await this.whileFrozen(address);
    if (this.terminated.has(address)) return { kind: 'silent' };
    return { kind: 'answered', answer: answer as never };
  }
}

/** A relay of its own zone, with a watch from revision 1 pending at the store. */
export async function watchingRelay(renewalAge: () => number = () => 0): Promise<{
  readonly store: SharedStoreEmulator;
  readonly relay: WatchRelay;
  readonly outcome: Promise<StoreWatchOutcome>;
  readonly stop: () => void;
}> {
  const store = new SharedStoreEmulator();
  store.write(`${PREFIX}w1`, 'ready');
  const relay = new WatchRelay({
    store,
    peers: { request: async () => ({ kind: 'refused' }) },
    fleet: () => ({
      liveNodes: () => ['node-1'],
      zoneOf: () => 'zone-1',
      addressOf: (asked) => asked,
      renewalAge,
    }),
    self: 'node-1',
    zone: 'zone-1',
    prefixes: [PREFIX],
    boundPrefixes: [PREFIX],
    changeBound: () => CHANGE_BOUND,
    clock: PROCESS_CLOCK,
    log: { state: () => {} },
    metrics: new FleetMetrics(),
  });
  await relay.relayedStore().range(PREFIX);
  const abort = new AbortController();
  const outcome = relay.relayedStore().watch(PREFIX, 1, 60_000, abort.signal);
  return { store, relay, outcome, stop: () => abort.abort() };
}
