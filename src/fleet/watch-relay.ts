/**
 * Lists and watches of the shared store by way of another node. One node of each zone, or a few in
 * a large one, follows the store; the others ask these, so that a change, a restart of all nodes
 * or the end of an outage costs the store a few answers and not one for each node. A relay answers
 * only while the store has renewed its lease lately; a follower whose relay does not help asks one
 * of another zone, and the store itself only where none of them answers.
 */
import { filter, firstValueFrom, raceWith, Subject, timer } from 'rxjs';
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { PeerAnswers, PeerPort, PeerRequestOf } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import { PrefixMirror } from '../shared-store/prefix-mirror.js';
import type {
  SharedStore,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';

/** Nodes of one zone for each one that follows the store. One relay answers some 90 questions a second. */
const NODES_PER_RELAY = 40;

/** Relays that are asked before the store is. */
const RELAYS_ASKED = 2;

/**
 * Share of the bound for a configuration that a question to a relay waits at most. With the time
 * for its answer and a list elsewhere this bounds how late a change is heard of where the relay
 * froze; the rest of the bound is margin.
 */
const RELAYED_WAIT_SHARE = 0.5;

/** Time beyond the wait of a question for its answer. */
const ANSWER_LIMIT: Milliseconds = 300;

/** Time for a relay to tell a whole prefix: some ten kilobytes. */
const LIST_LIMIT: Milliseconds = 600;

/**
 * A relay answers only while the store has renewed its lease this recently, so that a relay that
 * is cut off from the store does not hold its followers back.
 */
const FRESHNESS: Milliseconds = 1_000;

/** Time for which a relay that did not help is not asked again. */
const RELAY_PENALTY: Milliseconds = 2_000;

/** Longest watch of a follower at the store itself: then it tries the relays again. */
const FALLBACK_WAIT: Milliseconds = 5_000;

/**
 * Lists in a row for which relays that answer, and hear nothing from the store either, are
 * believed: with the pauses between them about a second.
 */
const BELIEVED_ANSWERS = 3;

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
  /** The prefixes that all nodes follow; others are always read at the store. */
  readonly prefixes: readonly string[];
  /** Time in which a change has to be in force at all nodes. */
  readonly changeBound: () => Milliseconds;
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'state'>;
  readonly metrics: FleetMetrics;
}

/** Who told of a prefix last, and when: a relay by its name, the store, or nobody. */
interface FollowedPrefix {
  readonly source: string;
  readonly heardAt: Milliseconds;
}

/** One prefix that this node follows at the store itself. */
interface DirectWatch {
  readonly mirror: PrefixMirror;
  /** Whether a call waits at the store. */
  isWaiting: boolean;
  lastOutcomeAt: Milliseconds;
}

/** What came of asking the relays. */
type RelayedOutcome<Answer> =
  | { readonly kind: 'answered'; readonly answer: Answer }
  /** A relay lives and does not surely hear from the store itself. */
  | { readonly kind: 'not-current' }
  | { readonly kind: 'no-relay' };

/** The source of a prefix that comes from the store without a relay. */
const STORE_SOURCE = 'store';

/** The source of a prefix of which neither a relay nor the store tells. */
const NO_SOURCE = 'nobody';

/** Follows the store through other nodes, and lets others follow it through this one. */
export class WatchRelay {
  private readonly direct = new Map<string, DirectWatch>();
  private readonly grown = new Subject<string>();
  private readonly penalizedUntil = new Map<NodeId, Milliseconds>();
  private readonly believedAnswers = new Map<string, number>();
  private readonly followed = new Map<string, FollowedPrefix>();

  constructor(private readonly options: WatchRelayOptions) {}

  /** The store with its lists and watches by way of other nodes where there is one to ask. */
  relayedStore(): SharedStore {
    const { store, prefixes } = this.options;
    return {
      get: (key) => store.get(key),
      range: (prefix, afterKey) =>
        prefixes.includes(prefix) ? this.list(prefix) : store.range(prefix, afterKey),
      watch: (prefix, after, wait, signal) => this.watch(prefix, after, wait, signal),
      commit: (commit) => store.commit(commit),
      grantLease: (ttl) => store.grantLease(ttl),
      keepLease: (lease) => store.keepLease(lease),
      endLease: (lease) => store.endLease(lease),
    };
  }

  /** Whether this node is to follow the store for others. */
  get isRelay(): boolean {
    const { fleet, self, zone } = this.options;
    return this.relaysOf(zone, this.nodesByZone(fleet())).includes(self);
  }

  /** Answers a follower that asks what changed. */
  async answer(request: PeerRequestOf<'follow-prefix'>): Promise<PeerAnswers['follow-prefix']> {
    const { prefix, after, wait } = request;
    const watch = this.direct.get(prefix);
    if (watch === undefined || !this.isCurrent(watch)) return { isCurrent: false };
    if (watch.mirror.changesAfter(after)?.length === 0) {
      const growth = this.grown.pipe(filter((grownPrefix) => grownPrefix === prefix));
      await firstValueFrom(growth.pipe(raceWith(timer(wait))), {
        defaultValue: 0,
      });
    }
    const isFollowed = this.direct.get(prefix) === watch && this.isCurrent(watch);
    if (!isFollowed) return { isCurrent: false };
    const changes = watch.mirror.changesAfter(after);
    if (changes === undefined) return { isCurrent: true, changes: undefined };
    return { isCurrent: true, changes, revision: Math.max(after, watch.mirror.revision) };
  }

  /** Answers a follower that asks for a prefix whole. */
  answerList(request: PeerRequestOf<'list-prefix'>): PeerAnswers['list-prefix'] {
    const watch = this.direct.get(request.prefix);
    if (watch === undefined || !this.isCurrent(watch)) return { isCurrent: false };
    return { isCurrent: true, ...watch.mirror.snapshot };
  }

  private async list(prefix: string): Promise<StoreRangeOutcome> {
    const relays = this.relays();
    if (relays === 'self') return this.listStore(prefix, true);
    const outcome = await this.askRelays<'list-prefix'>(
      prefix,
      relays,
      { kind: 'list-prefix', prefix },
      LIST_LIMIT,
    );
    if (outcome.kind === 'answered') {
      this.believedAnswers.delete(prefix);
      const { items, revision } = outcome.answer;
      return { kind: 'items', items, revision };
    }
    const believed = this.believedAnswers.get(prefix) ?? 0;
    if (outcome.kind === 'not-current' && believed < BELIEVED_ANSWERS) {
      this.believedAnswers.set(prefix, believed + 1);
      return { kind: 'failed', effect: 'not-done' };
    }
    this.believedAnswers.delete(prefix);
    return this.listStore(prefix, false);
  }

  private async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const relays = this.relays();
    if (relays === 'self') return this.watchStore(prefix, after, wait, signal);
    this.direct.delete(prefix);
    if (relays.length === 0) {
      return this.options.store.watch(prefix, after, Math.min(wait, FALLBACK_WAIT), signal);
    }
    const limit = Math.min(wait, RELAYED_WAIT_SHARE * this.options.changeBound());
    const request = { kind: 'follow-prefix', prefix, after, wait: limit } as const;
    const outcome = await this.askRelays<'follow-prefix'>(
      prefix,
      relays,
      request,
      limit + ANSWER_LIMIT,
    );
    // What the relay missed, a watch of this node may miss as well: the prefix is listed anew.
    if (outcome.kind !== 'answered') return { kind: 'compacted' };
    const { answer } = outcome;
    if (answer.changes === undefined) return { kind: 'compacted' };
    return { kind: 'changes', changes: answer.changes, revision: answer.revision };
  }

  /** Asks the relays in turn until one is current. */
  private async askRelays<Kind extends 'follow-prefix' | 'list-prefix'>(
    prefix: string,
    relays: readonly NodeId[],
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<RelayedOutcome<Extract<PeerAnswers[Kind], { isCurrent: true }>>> {
    const { peers, fleet, metrics, clock } = this.options;
    let isAlive = false;
    const refusals: string[] = [];
    for (const relay of relays) {
      const address = fleet().addressOf(relay);
      if (address === undefined) continue;
      const outcome = await peers.ask<Kind>(address, request, limit);
      const isCurrent = outcome.kind === 'answered' && outcome.answer.isCurrent;
      const told = outcome.kind === 'answered' ? 'not-current' : outcome.kind;
      metrics.count('relayed_watches', { outcome: isCurrent ? 'current' : told });
      if (isCurrent) {
        this.noteHeard(prefix, relay);
        const answer = outcome.answer as Extract<PeerAnswers[Kind], { isCurrent: true }>;
        return { kind: 'answered', answer };
      }
      refusals.push(`${relay}:${told}`);
      if (outcome.kind === 'answered') isAlive = true;
      else this.penalizedUntil.set(relay, clock.now() + RELAY_PENALTY);
    }
    this.noteUnheard(prefix, refusals);
    return { kind: isAlive ? 'not-current' : 'no-relay' };
  }

  /** A change of who tells of a prefix, and how long nobody did, is what a late change is explained by. */
  private noteHeard(prefix: string, source: string): void {
    const now = this.options.clock.now();
    const before = this.followed.get(prefix);
    this.followed.set(prefix, { source, heardAt: now });
    if (before === undefined || before.source === source) return;
    const unheardMs = Math.round(now - before.heardAt);
    this.options.log.state('prefix-followed', {
      prefix,
      by: source,
      before: before.source,
      unheardMs,
    });
  }

  private noteUnheard(prefix: string, refusals: readonly string[]): void {
    const before = this.followed.get(prefix);
    if (before === undefined || before.source === NO_SOURCE) return;
    this.followed.set(prefix, { source: NO_SOURCE, heardAt: before.heardAt });
    const unheardMs = Math.round(this.options.clock.now() - before.heardAt);
    const details = { prefix, by: NO_SOURCE, before: before.source, unheardMs };
    this.options.log.state('prefix-followed', { ...details, asked: refusals.join(' ') });
  }

  private async listStore(prefix: string, isKept: boolean): Promise<StoreRangeOutcome> {
    const { store, clock } = this.options;
    const outcome = await store.range(prefix);
    if (outcome.kind === 'failed' || !isKept) {
      this.direct.delete(prefix);
      if (outcome.kind === 'items') this.noteHeard(prefix, STORE_SOURCE);
      return outcome;
    }
    this.noteHeard(prefix, STORE_SOURCE);
    const known = this.direct.get(prefix);
    if (known === undefined) {
      const mirror = new PrefixMirror(outcome);
      this.direct.set(prefix, { mirror, isWaiting: false, lastOutcomeAt: clock.now() });
    } else {
      known.mirror.takeList(outcome);
      known.lastOutcomeAt = clock.now();
    }
    this.grown.next(prefix);
    return outcome;
  }

  private async watchStore(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const { store, clock } = this.options;
    const watch = this.direct.get(prefix);
    // A node that just became a relay lists first, so that it can tell its followers all.
    if (watch === undefined || after > watch.mirror.revision) return { kind: 'compacted' };
    watch.isWaiting = true;
    const outcome = await store.watch(prefix, after, wait, signal);
    watch.isWaiting = false;
    if (outcome.kind === 'changes') {
      watch.lastOutcomeAt = clock.now();
      this.noteHeard(prefix, STORE_SOURCE);
      watch.mirror.takeChanges(after, outcome.changes, outcome.revision);
    } else if (!signal.aborted) {
      // What comes until the next list is not known here: followers must not wait for it.
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

  /** The nodes to ask in turn, of the own zone first; `self` where this node is a relay. */
  private relays(): 'self' | readonly NodeId[] {
    const { fleet, self, zone, clock } = this.options;
    const zones = this.nodesByZone(fleet());
    const own = this.relaysOf(zone, zones);
    if (own.includes(self) || own.length === 0) return 'self';
    const others = [...zones.keys()]
      .filter((name) => name !== zone)
      .flatMap((name) => this.relaysOf(name, zones));
    const inOrder = [own, others].flatMap((nodes) => rendezvousOrder(self, nodes, (node) => node));
    const isUsable = (node: NodeId): boolean => clock.now() >= (this.penalizedUntil.get(node) ?? 0);
    return inOrder.filter(isUsable).slice(0, RELAYS_ASKED);
  }

  private relaysOf(zone: ZoneName, zones: ReadonlyMap<ZoneName, readonly NodeId[]>): NodeId[] {
    const nodes = zones.get(zone) ?? [];
    const count = Math.ceil(nodes.length / NODES_PER_RELAY);
    return rendezvousOrder(zone, nodes, (node) => node).slice(0, count);
  }

  private nodesByZone(fleet: RelayFleet): Map<ZoneName, NodeId[]> {
    const zones = new Map<ZoneName, NodeId[]>();
    for (const node of fleet.liveNodes()) {
      const zone = fleet.zoneOf(node);
      if (zone === undefined) continue;
      const nodes = zones.get(zone);
      if (nodes === undefined) zones.set(zone, [node]);
      else nodes.push(node);
    }
    return zones;
  }
}
