/**
 * The shared store as a relay reads it: through the first relay of its region, so that a change
 * crosses the link to the region once, or directly if this node is the first relay or the first
 * relay fails.
 *
 * The first relay answers other relays only from its own watch of the store, so two relays that
 * take each other for the first both fall back to the store.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { PeerOutcome, PeerPort } from '../peers/peer-messages.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type {
  SharedStore,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { PrefixUpstream } from './direct-prefixes.js';
import { type HedgedOutcome, hedgedRead } from './hedged-read.js';
import { type ListedAtStore, NO_WAIT, watchStore } from './overdue-watches.js';
import {
  type Aged,
  ageOnArrival,
  maxWait,
  type PrefixFreshness,
  relayLimits,
} from './prefix-freshness.js';
import type { RelayChoice, RelayFleet } from './relay-choice.js';
import { type CurrentAnswer, currentAnswer, type RelayRequestKind } from './relay-requests.js';
import type { RoundTripEstimate } from './round-trip-estimate.js';

/** Time for the answer of the first relay in addition to the wait, as a share of the bound. */
const ANSWER_SHARE = 0.2;

/** Time for the first relay to send a whole prefix. */
const LIST_TIMEOUT: Milliseconds = 600;

export interface RelayUpstreamOptions {
  readonly store: SharedStore;
  readonly choice: Pick<RelayChoice, 'firstRelay' | 'penalize'>;
  readonly peers: PeerPort;
  readonly fleet: () => Pick<RelayFleet, 'addressOf'>;
  /** Time within which a configuration change must take effect. */
  readonly changeBound: () => Milliseconds;
  /** The age of this node's data. */
  readonly freshness: Pick<PrefixFreshness, 'age'>;
  readonly roundTrips: Pick<RoundTripEstimate, 'timeout'>;
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'state'>;
  readonly metrics: FleetMetrics;
}

/** The relay that reads the store for this region. */
interface FirstRelay {
  readonly node: NodeId;
  readonly address: string;
}

/** A request to the first relay, and the store as the fallback. */
interface HedgedRelayRead<Kind extends RelayRequestKind, Outcome> {
  readonly prefix: string;
  readonly firstRelay: FirstRelay;
  readonly request: Promise<PeerOutcome<Kind>>;
  /** Time after which the store is read as well. */
  readonly delay: Milliseconds;
  readonly readStore: () => Promise<Outcome>;
}

/** Lists and watches prefixes through the first relay, with the store as the fallback. */
export class RelayUpstream implements PrefixUpstream {
  /** The relay from which each prefix was last read; `undefined` for the store. */
  private readonly sources = new Map<string, NodeId | undefined>();
  private readonly storeWatches = new Map<string, Milliseconds>();
  /** Lists that were read in place of a watch, for the list that follows. */
  private readonly lists = new Map<string, ListedAtStore>();

  constructor(private readonly options: RelayUpstreamOptions) {}

  async range(prefix: string): Promise<Aged<StoreRangeOutcome>> {
    const { store, peers, freshness, clock, changeBound } = this.options;
    const listed = this.lists.get(prefix);
    this.lists.delete(prefix);
    if (listed !== undefined) {
      return { ...listed.outcome, age: suspendAwareTime(clock) - listed.sentAt };
    }
    const firstRelay = this.findFirstRelay();
    if (firstRelay === undefined) return store.range(prefix);
    const { source: maxAge, store: storeAge } = relayLimits(changeBound());
    const request = { kind: 'list-prefix', prefix, forRelay: true, maxAge } as const;
    const sentAt = suspendAwareTime(clock);
    const ageOnRequest = freshness.age(prefix);
    const timeUntilRead = Number.isFinite(ageOnRequest) ? storeAge - ageOnRequest : LIST_TIMEOUT;
    const read = await this.read<'list-prefix', StoreRangeOutcome>({
      ...{ prefix, firstRelay },
      request: peers.request<'list-prefix'>(firstRelay.address, request, LIST_TIMEOUT),
      delay: timeUntilRead,
      readStore: () => store.range(prefix),
    });
    if (read.by === 'second') return read.outcome;
    const { items, revision } = read.outcome;
    // The receiver answers all relays alike, without the age, which is below the maximum.
    const age = maxAge + suspendAwareTime(clock) - sentAt;
    return { kind: 'items', items, revision, age };
  }

  /** Watches a prefix; if the first relay fails, the store is read from the same revision. */
  async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<Aged<StoreWatchOutcome>> {
    const { peers, freshness, clock, changeBound } = this.options;
    this.storeWatches.delete(prefix);
    this.lists.delete(prefix);
    const firstRelay = this.findFirstRelay();
    if (firstRelay === undefined) return this.watchStore(prefix, after, wait, signal);
    const limits = relayLimits(changeBound());
    const ageOnRequest = freshness.age(prefix);
    const limit = Math.min(wait, maxWait(limits, ageOnRequest, changeBound()));
    const timeout = limit + ANSWER_SHARE * changeBound();
    const time = { wait: limit, maxAge: limits.source };
    const request = { kind: 'follow-prefix', prefix, after, ...time, forRelay: true } as const;
    const sentAt = suspendAwareTime(clock);
    const read = await this.read<'follow-prefix', StoreWatchOutcome>({
      ...{ prefix, firstRelay },
      request: peers.request<'follow-prefix'>(firstRelay.address, request, timeout),
      delay: limits.store - ageOnRequest,
      readStore: () => this.watchStore(prefix, after, NO_WAIT, signal),
    });
    if (read.by === 'second') return read.outcome;
    const { outcome: answer } = read;
    if (answer.changes === undefined) return { kind: 'compacted' };
    const { changes, revision } = answer;
    const duration = suspendAwareTime(clock) - sentAt;
    const age = ageOnArrival(answer.freshness, duration, changeBound());
    return { kind: 'changes', changes, revision, age };
  }

  /** When the last watch of a prefix was sent to the store, by {@link suspendAwareTime}. */
  storeWatchSentAt(prefix: string): Milliseconds | undefined {
    return this.storeWatches.get(prefix);
  }

  /** Reads through the first relay; the store is read if that fails or takes too long. */
  private async read<Kind extends RelayRequestKind, Outcome extends { readonly kind: string }>({
    prefix,
    firstRelay,
    request,
    delay,
    readStore,
  }: HedgedRelayRead<Kind, Outcome>): Promise<HedgedOutcome<CurrentAnswer<Kind>, Outcome>> {
    const first = request.then((outcome) => {
      const answer = currentAnswer(outcome);
      if (answer !== undefined) this.noteAnswered(prefix, firstRelay.node);
      else this.noteFailed(prefix, firstRelay.node, outcome.kind);
      return answer;
    });
    const read = await hedgedRead({
      ...{ first, delay, second: readStore },
      isFirstUsable: (answer) => answer !== undefined,
      isSecondUsable: (outcome) => outcome.kind !== 'failed',
    });
    if (read.by === 'second') return read;
    if (read.outcome === undefined) return { by: 'second', outcome: await readStore() };
    return { by: 'first', outcome: read.outcome };
  }

  private async watchStore(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const { store, clock, roundTrips } = this.options;
    this.storeWatches.set(prefix, suspendAwareTime(clock));
    const time = { wait, changeBound: this.options.changeBound() };
    const watched = await watchStore({ store, prefix, after, ...time, signal, roundTrips, clock });
    if (watched.outcome !== undefined) return watched.outcome;
    if (watched.listed.outcome.kind === 'failed') return watched.listed.outcome;
    this.lists.set(prefix, watched.listed);
    return { kind: 'compacted' };
  }

  private findFirstRelay(): FirstRelay | undefined {
    const node = this.options.choice.firstRelay();
    const address = node === undefined ? undefined : this.options.fleet().addressOf(node);
    return node === undefined || address === undefined ? undefined : { node, address };
  }

  private noteAnswered(prefix: string, node: NodeId): void {
    this.options.metrics.count('relayed_watches', { outcome: 'current' });
    if (this.sources.get(prefix) === node) return;
    this.sources.set(prefix, node);
    this.options.log.state('relay-upstream', { prefix, by: node });
  }

  private noteFailed(
    prefix: string,
    node: NodeId,
    outcome: PeerOutcome<RelayRequestKind>['kind'],
  ): void {
    const failure = outcome === 'answered' ? 'not-current' : outcome;
    this.options.choice.penalize(node);
    this.options.metrics.count('relayed_watches', { outcome: failure });
    this.sources.set(prefix, undefined);
    this.options.log.state('relay-upstream', {
      prefix,
      by: 'store',
      unhelpful: node,
      told: failure,
    });
  }
}
