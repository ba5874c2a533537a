/**
 * Lists and watches the shared store through relays: a few nodes of each zone watch the store and
 * the others request changes from them, so that the load on the store does not grow with the fleet.
 *
 * A change must take effect at a follower within a bound even if relays fail, so one time budget
 * covers the request to a relay, the search for a working one, and the store itself.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { PeerAnswers, PeerPort, PeerRequestOf } from '../peers/peer-messages.js';
import { suspendAwareTime } from '../serving/clock.js';
import type {
  SharedStore,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { type ChangeBound, DirectPrefixes, maxWatchDuration } from './direct-prefixes.js';
import { PrefixSources, STORE_SOURCE } from './prefix-sources.js';
import { RelayChoice, type RelayChoiceOptions } from './relay-choice.js';
import { RelayUpstream } from './relay-upstream.js';

/**
 * Shares of the change bound. They leave time for {@link ANSWER_MARGIN}, the store's answer and
 * applying the change: with the margin they add up to 0.85 of a bound of 2 s.
 */
const WAIT_SHARE = 0.5;
const SEARCH_SHARE = 0.2;

/** Time for the answer, in addition to the wait. */
const ANSWER_MARGIN: Milliseconds = 300;

/**
 * Time for one relay to send a whole prefix, which is about 1 MB for 3,000 workers and takes 0.25 s
 * on a link of 42 Mbit/s.
 */
const LIST_TIMEOUT: Milliseconds = 600;

/**
 * Number of consecutive lists for which relays that are not current are retried before the store is
 * read.
 */
const MAX_STALE_RELAY_RETRIES = 3;

export interface WatchRelayOptions extends RelayChoiceOptions, ChangeBound {
  readonly store: SharedStore;
  readonly peers: PeerPort;
  /** The prefixes that all nodes watch; others are always read at the store. */
  readonly prefixes: readonly string[];
  readonly log: Pick<DecisionLog, 'state'>;
  readonly metrics: FleetMetrics;
}

type RelayRequestKind = 'follow-prefix' | 'list-prefix';

type CurrentAnswer<Kind extends RelayRequestKind> = Extract<PeerAnswers[Kind], { isCurrent: true }>;

/** The outcome of requesting the relays. */
type RelaysOutcome<Answer> =
  | { readonly kind: 'answered'; readonly answer: Answer }
  /** Relays answered but may be missing changes of the store. */
  | { readonly kind: 'not-current'; readonly relays: readonly NodeId[] }
  | { readonly kind: 'no-relay' };

/** One round of requests to relays. */
interface RelaysRequest<Kind extends RelayRequestKind> {
  readonly prefix: string;
  readonly relays: readonly NodeId[];
  /** Time for which the relays may wait for a change, all together. */
  readonly wait: Milliseconds;
  /** Time, in addition to the wait, for one relay's answer and for all relays after the first. */
  readonly answerTimeout: Milliseconds;
  readonly searchTimeout: Milliseconds;
  readonly request: (wait: Milliseconds) => PeerRequestOf<Kind>;
}

/** Watches the store through relays, and relays it to other nodes. */
export class WatchRelay {
  private readonly direct: DirectPrefixes;
  private readonly choice: RelayChoice;
  /** Consecutive lists of each prefix that failed since it was last received. */
  private readonly staleRelayRetries = new Map<string, number>();
  private readonly sources: PrefixSources;
  /** Prefixes for which no relay answered lately: their next list is read at the store. */
  private readonly prefixesWithoutRelay = new Set<string>();
  /** When a list or watch of this node at the store last failed, by {@link suspendAwareTime}. */
  private storeFailedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: WatchRelayOptions) {
    const { fleet } = options;
    const renewalAge = (): Milliseconds => fleet().renewalAge();
    this.choice = new RelayChoice(options);
    this.sources = new PrefixSources(options);
    const { choice } = this;
    const upstream = new RelayUpstream({ ...options, choice });
    const readsStoreDirectly = (): boolean => choice.firstRelay() === undefined;
    this.direct = new DirectPrefixes({
      ...options,
      store: upstream,
      renewalAge,
      readsStoreDirectly,
    });
  }

  /** The store, with lists and watches sent to relays if any are available. */
  relayedStore(): SharedStore {
    const { store, prefixes } = this.options;
    return {
      get: (key) => store.get(key),
      range: (prefix, afterKey) =>
        prefixes.includes(prefix) ? this.list(prefix) : store.range(prefix, afterKey),
      watch: (prefix, after, wait, signal) => this.watch(prefix, after, wait, signal),
      commit: (commit) => store.commit(commit),
      grantLease: (ttl) => store.grantLease(ttl),
      renewLease: (lease) => store.renewLease(lease),
      revokeLease: (lease) => store.revokeLease(lease),
    };
  }

  /**
   * Time since the store or another node answered a request for a prefix, with or without current
   * data; infinite before the first answer.
   */
  contactAge(prefix: string): Milliseconds {
    return Math.min(this.sources.contactAge(prefix), this.direct.contactAge(prefix));
  }

  /** Whether this node is a relay. */
  get isRelay(): boolean {
    return this.choice.isRelay;
  }

  /** Answers a follower's watch. */
  answer(request: PeerRequestOf<'follow-prefix'>): Promise<PeerAnswers['follow-prefix']> {
    return this.direct.answer(request);
  }

  answerList(request: PeerRequestOf<'list-prefix'>): PeerAnswers['list-prefix'] {
    return this.direct.answerList(request);
  }

  private async list(prefix: string): Promise<StoreRangeOutcome> {
    const relays = this.choice.relaysInOrder(this.isRejectedByStore);
    if (relays === 'self') return this.noteStoreOutcome(prefix, await this.direct.list(prefix));
    this.direct.stopServing(prefix);
    if (this.prefixesWithoutRelay.delete(prefix)) {
      return this.noteStoreOutcome(prefix, await this.options.store.range(prefix));
    }
    const outcome = await this.requestRelays<'list-prefix'>({
      prefix,
      relays,
      wait: 0,
      ...this.listTimeouts(prefix),
      request: () => ({ kind: 'list-prefix', prefix }),
    });
    if (outcome.kind === 'answered') {
      const { items, revision } = outcome.answer;
      return { kind: 'items', items, revision };
    }
    if (outcome.kind === 'not-current' && this.mayRetryStaleRelays(prefix)) {
      return { kind: 'failed', effect: 'not-done' };
    }
    const listed = this.noteStoreOutcome(prefix, await this.options.store.range(prefix));
    const areRelaysStale = listed.kind === 'items' && outcome.kind === 'not-current';
    if (areRelaysStale) for (const relay of outcome.relays) this.choice.penalize(relay);
    return listed;
  }

  /** A node that has received the prefix before lists it within the search time. */
  private listTimeouts(
    prefix: string,
  ): Pick<RelaysRequest<'list-prefix'>, 'answerTimeout' | 'searchTimeout'> {
    if (!this.sources.wasReceived(prefix))
      return { answerTimeout: LIST_TIMEOUT, searchTimeout: LIST_TIMEOUT };
    return { answerTimeout: SEARCH_SHARE * this.options.changeBound(), searchTimeout: 0 };
  }

  /**
   * Whether to retry relays that are not current for one more list. A node that has received the
   * prefix before must learn of a change within the bound and requests the store first; any other
   * node would only add load to the store.
   */
  private mayRetryStaleRelays(prefix: string): boolean {
    const retries =
      this.staleRelayRetries.get(prefix) ??
      (this.sources.wasReceived(prefix) ? MAX_STALE_RELAY_RETRIES : 0);
    const isRetried = retries < MAX_STALE_RELAY_RETRIES;
    this.staleRelayRetries.set(prefix, isRetried ? retries + 1 : 0);
    return isRetried;
  }

  private async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const relays = this.choice.relaysInOrder(this.isRejectedByStore);
    if (relays === 'self') {
      const outcome = await this.direct.watch(prefix, after, wait, signal);
      return signal.aborted ? outcome : this.noteStoreOutcome(prefix, outcome);
    }
    this.direct.stopServing(prefix);
    if (relays.length === 0) return this.watchDirectly(prefix, after, wait, signal);
    const limit = Math.min(wait, WAIT_SHARE * this.options.changeBound());
    const outcome = await this.requestRelays<'follow-prefix'>({
      prefix,
      relays,
      wait: limit,
      answerTimeout: ANSWER_MARGIN,
      searchTimeout: SEARCH_SHARE * this.options.changeBound(),
      request: (remainingWait) => ({ kind: 'follow-prefix', prefix, after, wait: remainingWait }),
    });
    if (outcome.kind === 'no-relay') this.prefixesWithoutRelay.add(prefix);
    // A watch of this node may miss what the relays missed, so the prefix is listed again.
    if (outcome.kind !== 'answered') return { kind: 'compacted' };
    const { answer } = outcome;
    if (answer.changes === undefined) return { kind: 'compacted' };
    return { kind: 'changes', changes: answer.changes, revision: answer.revision };
  }

  /** Watches the store directly for a limited time, after which relays are tried again. */
  private async watchDirectly(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const limit = maxWatchDuration(prefix, wait, this.options);
    const outcome = await this.options.store.watch(prefix, after, limit, signal);
    return signal.aborted ? outcome : this.noteStoreOutcome(prefix, outcome);
  }

  /** Requests the relays in order until one is current or the time is over. */
  private async requestRelays<Kind extends RelayRequestKind>(
    relaysRequest: RelaysRequest<Kind>,
  ): Promise<RelaysOutcome<CurrentAnswer<Kind>>> {
    const { peers, fleet, metrics, clock } = this.options;
    const { prefix, relays, wait, answerTimeout, searchTimeout, request } = relaysRequest;
    const waitEnd = clock.now() + wait;
    const deadline = waitEnd + answerTimeout + searchTimeout;
    const notCurrent: NodeId[] = [];
    const failures: string[] = [];
    for (const relay of relays) {
      const address = fleet().addressOf(relay);
      const remainingWait = Math.max(0, waitEnd - clock.now());
      const timeout = Math.min(remainingWait + answerTimeout, deadline - clock.now());
      if (timeout <= 0) break;
      if (address === undefined) continue;
      const outcome = await peers.request<Kind>(address, request(remainingWait), timeout);
      const isCurrent = outcome.kind === 'answered' && outcome.answer.isCurrent;
      const failure = outcome.kind === 'answered' ? 'not-current' : outcome.kind;
      metrics.count('relayed_watches', { outcome: isCurrent ? 'current' : failure });
      if (outcome.kind === 'answered') this.choice.noteAnswer(relay);
      if (isCurrent) {
        for (const skippedRelay of notCurrent) this.choice.penalize(skippedRelay);
        this.noteReceived(prefix, relay);
        return { kind: 'answered', answer: outcome.answer as CurrentAnswer<Kind> };
      }
      failures.push(`${relay}:${failure}`);
      if (outcome.kind === 'answered') {
        this.sources.noteContact(prefix);
        notCurrent.push(relay);
      } else this.choice.noteSilence(relay);
    }
    this.sources.noteUnavailable(prefix, failures);
    if (notCurrent.length === 0) return { kind: 'no-relay' };
    return { kind: 'not-current', relays: notCurrent };
  }

  /** Records the outcome of a call to the store. */
  private noteStoreOutcome<Outcome extends StoreRangeOutcome | StoreWatchOutcome>(
    prefix: string,
    outcome: Outcome,
  ): Outcome {
    if (outcome.kind === 'failed') this.storeFailedAt = suspendAwareTime(this.options.clock);
    else if (outcome.kind !== 'compacted') this.noteReceived(prefix, STORE_SOURCE);
    return outcome;
  }

  /**
   * Whether the store failed a call of this node and has not renewed its lease since; other nodes
   * may still be served.
   */
  private get isRejectedByStore(): boolean {
    const age = suspendAwareTime(this.options.clock) - this.storeFailedAt;
    return this.options.fleet().renewalAge() > age;
  }

  private noteReceived(prefix: string, source: NodeId): void {
    this.staleRelayRetries.delete(prefix);
    this.sources.noteReceived(prefix, source);
  }
}
