/**
 * Watches of the shared store by way of another node. A few nodes of each zone watch the store;
 * the others of the zone ask these, so that a change costs the store a few answers and not one for
 * each node. A node that relays says for how long the store has confirmed its lease; a follower
 * that hears nothing, or nothing current, asks the store itself.
 */
import { filter, firstValueFrom, raceWith, Subject, timer } from 'rxjs';
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { PeerAnswers, PeerPort, PeerRequestOf } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import type { SharedStore, StoreWatchOutcome } from '../shared-store/shared-store.js';
import { WatchLog } from '../shared-store/watch-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';

/** Nodes of one zone for each one that watches the store. */
const NODES_PER_RELAY = 16;

/** Longest wait of a question to a relay, and time beyond it for the answer. */
const RELAYED_WAIT: Milliseconds = 700;
const ANSWER_LIMIT: Milliseconds = 300;

/**
 * A relay answers only while the store has renewed its lease this recently, so that a relay that
 * is cut off from the store does not hold its followers back.
 */
const FRESHNESS: Milliseconds = 1_000;

/** Time for which a relay that did not help is not asked again. */
const RELAY_PENALTY: Milliseconds = 2_000;

/** The live nodes, as a relay needs to know them. */
export interface RelayFleet {
  liveNodes(): string[];
  zoneOf(node: NodeId): ZoneName | undefined;
  addressOf(node: NodeId): string | undefined;
  /** Time since the store last renewed this node's lease. */
  renewalAge(): Milliseconds;
}

/** Options of {@link WatchRelay}. */
export interface WatchRelayOptions {
  readonly store: SharedStore;
  readonly peers: PeerPort;
  readonly fleet: () => RelayFleet;
  readonly self: NodeId;
  readonly zone: ZoneName;
  readonly clock: Clock;
  readonly metrics: FleetMetrics;
}

/** One prefix that this node watches at the store itself. */
interface DirectWatch {
  readonly log: WatchLog;
  /** Whether a call waits at the store. */
  isWaiting: boolean;
  lastOutcomeAt: Milliseconds;
}

/** Watches through other nodes, and lets others watch through this one. */
export class WatchRelay {
  private readonly direct = new Map<string, DirectWatch>();
  private readonly grown = new Subject<string>();
  private readonly penalizedUntil = new Map<NodeId, Milliseconds>();

  constructor(private readonly options: WatchRelayOptions) {}

  /** The store with its watches by way of other nodes where there is one to ask. */
  relayedStore(): SharedStore {
    const { store } = this.options;
    return {
      get: (key) => store.get(key),
      range: (prefix, afterKey) => store.range(prefix, afterKey),
      watch: (prefix, after, wait, signal) => this.watch(prefix, after, wait, signal),
      commit: (commit) => store.commit(commit),
      grantLease: (ttl) => store.grantLease(ttl),
      keepLease: (lease) => store.keepLease(lease),
      endLease: (lease) => store.endLease(lease),
    };
  }

  /** Answers a follower. */
  async answer(request: PeerRequestOf<'follow-prefix'>): Promise<PeerAnswers['follow-prefix']> {
    const { prefix, after, wait } = request;
    const watch = this.direct.get(prefix);
    if (watch === undefined || !this.isCurrent(watch)) return { isCurrent: false };
    if (watch.log.changesAfter(after)?.length === 0) {
      const patience = Math.min(wait, FRESHNESS - this.options.fleet().renewalAge());
      const growth = this.grown.pipe(filter((grownPrefix) => grownPrefix === prefix));
      await firstValueFrom(growth.pipe(raceWith(timer(Math.max(0, patience)))), { defaultValue: 0 });
    }
    const changes = watch.log.changesAfter(after);
    const isFollowed = this.direct.get(prefix) === watch && this.isCurrent(watch);
    if (changes === undefined || !isFollowed) return { isCurrent: false };
    return { isCurrent: true, changes, revision: Math.max(after, watch.log.revision) };
  }

  private async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const relay = this.relay();
    if (relay !== undefined) {
      this.direct.delete(prefix);
      const outcome = await this.watchAt(relay, prefix, after, Math.min(wait, RELAYED_WAIT));
      // What the relay missed, a watch of this node may miss as well: the prefix is listed anew.
      return outcome ?? { kind: 'compacted' };
    }
    return this.watchStore(prefix, after, wait, signal);
  }

  private async watchAt(
    relay: NodeId,
    prefix: string,
    after: Revision,
    wait: Milliseconds,
  ): Promise<StoreWatchOutcome | undefined> {
    const { peers, fleet, metrics, clock } = this.options;
    const address = fleet().addressOf(relay);
    if (address === undefined) return undefined;
    const request = { kind: 'follow-prefix', prefix, after, wait } as const;
    const outcome = await peers.ask<'follow-prefix'>(address, request, wait + ANSWER_LIMIT);
    const isHelpful = outcome.kind === 'answered' && outcome.answer.isCurrent;
    const told = outcome.kind === 'answered' ? 'not-current' : outcome.kind;
    metrics.count('relayed_watches', { outcome: isHelpful ? 'current' : told });
    if (isHelpful) {
      const { changes, revision } = outcome.answer;
      return { kind: 'changes', changes, revision };
    }
    this.penalizedUntil.set(relay, clock.now() + RELAY_PENALTY);
    return undefined;
  }

  private async watchStore(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const { store, clock } = this.options;
    const watch = this.direct.get(prefix) ?? newWatch(after, clock.now());
    this.direct.set(prefix, watch);
    watch.isWaiting = true;
    const outcome = await store.watch(prefix, after, wait, signal);
    watch.isWaiting = false;
    if (outcome.kind === 'changes') {
      watch.lastOutcomeAt = clock.now();
      watch.log.take(after, outcome);
    } else {
      // What comes until the next watch begins is not known here: followers must not wait for it.
      this.direct.delete(prefix);
    }
    this.grown.next(prefix);
    return outcome;
  }

  /** Whether this node surely hears of changes now. */
  private isCurrent(watch: DirectWatch): boolean {
    const { fleet, clock } = this.options;
    const isFollowing = watch.isWaiting || clock.now() - watch.lastOutcomeAt < FRESHNESS;
    return isFollowing && fleet().renewalAge() < FRESHNESS;
  }

  /** The node to ask; `undefined` where this node is to watch the store itself. */
  private relay(): NodeId | undefined {
    const { fleet, self, zone, clock } = this.options;
    const nodes = fleet()
      .liveNodes()
      .filter((node) => fleet().zoneOf(node) === zone);
    const count = Math.ceil(nodes.length / NODES_PER_RELAY);
    const relays = rendezvousOrder(zone, nodes, (node) => node).slice(0, count);
    if (relays.includes(self)) return undefined;
    const [relay] = rendezvousOrder(self, relays, (node) => node);
    if (relay === undefined) return undefined;
    return clock.now() < (this.penalizedUntil.get(relay) ?? 0) ? undefined : relay;
  }
}

function newWatch(after: Revision, now: Milliseconds): DirectWatch {
  return { log: new WatchLog(after), isWaiting: false, lastOutcomeAt: now };
}
