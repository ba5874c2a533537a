/**
 * Lists and watches of the shared store by way of another node. One node of each zone, or a few in
 * a large one, follows the store; the others ask these, so that a change, a restart of all nodes
 * or the end of an outage costs the store a few answers and not one for each node.
 *
 * A change has to be in force at a follower within a bound, whatever becomes of its relays. All that
 * it may wait for is therefore taken from one budget: a question and its answer, then a search for
 * a relay that does hear from the store, then the store itself.
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
import { type ChangeBound, DirectPrefixes, longestWatch } from './direct-prefixes.js';
import { PrefixSources, STORE_SOURCE } from './prefix-sources.js';
import { RelayChoice, type RelayChoiceOptions } from './relay-choice.js';
import { RelayUpstream } from './relay-upstream.js';

/**
 * Shares of the bound for a configuration, which add up to 0.7, and to 0.85 with
 * {@link ANSWER_LIMIT} where the bound is 2 s; the rest is for the store's answer and for taking the
 * change in.
 */
const WAIT_SHARE = 0.5;
const SEARCH_SHARE = 0.2;

/** Time beyond the wait of a question for its answer. */
const ANSWER_LIMIT: Milliseconds = 300;

/**
 * Time for one relay to tell a whole prefix: some ten kilobytes on a small fleet, 1.2 MB of 3,003
 * workers, which take 0.25 s on a link of 42 Mbit/s.
 */
const LIST_LIMIT: Milliseconds = 600;

/**
 * Lists in a row for which relays that answer, and hear nothing from the store either, are believed
 * by a node to which the store did not answer either: with the pauses between them about a second.
 */
const BELIEVED_ANSWERS = 3;

/** Options of {@link WatchRelay}. */
export interface WatchRelayOptions extends RelayChoiceOptions, ChangeBound {
  readonly store: SharedStore;
  readonly peers: PeerPort;
  /** The prefixes that all nodes follow; others are always read at the store. */
  readonly prefixes: readonly string[];
  readonly log: Pick<DecisionLog, 'state'>;
  readonly metrics: FleetMetrics;
}

/** The two questions to a relay. */
type RelayedKind = 'follow-prefix' | 'list-prefix';

type RelayedAnswer<Kind extends RelayedKind> = Extract<PeerAnswers[Kind], { isCurrent: true }>;

/** What came of asking the relays. */
type RelayedOutcome<Answer> =
  | { readonly kind: 'answered'; readonly answer: Answer }
  /** A relay lives and does not surely hear from the store itself. */
  | { readonly kind: 'not-current'; readonly relays: readonly NodeId[] }
  | { readonly kind: 'no-relay' };

/** One round of questions to relays. */
interface RelayedQuestion<Kind extends RelayedKind> {
  readonly prefix: string;
  readonly relays: readonly NodeId[];
  /** Time for which a relay may wait for a change; what one used is missing for the next. */
  readonly wait: Milliseconds;
  /** Time beyond that wait for one relay's answer, and for all that are asked after the first. */
  readonly answerLimit: Milliseconds;
  readonly searchLimit: Milliseconds;
  readonly request: (wait: Milliseconds) => PeerRequestOf<Kind>;
}

/** Follows the store through other nodes, and lets others follow it through this one. */
export class WatchRelay {
  private readonly direct: DirectPrefixes;
  private readonly choice: RelayChoice;
  /** Lists by prefix that failed, at the store or for want of a current relay, since it was last heard. */
  private readonly believedAnswers = new Map<string, number>();
  private readonly sources: PrefixSources;
  /** Prefixes for which no relay helped a moment ago: their next list is the store's. */
  private readonly withoutRelay = new Set<string>();
  /** When the store last failed a list or watch of this node, by {@link suspendAwareTime}. */
  private failedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: WatchRelayOptions) {
    const { fleet } = options;
    const renewalAge = (): Milliseconds => fleet().renewalAge();
    this.choice = new RelayChoice(options);
    this.sources = new PrefixSources(options);
    const { choice } = this;
    const upstream = new RelayUpstream({ ...options, choice });
    const isFirst = (): boolean => choice.firstRelay() === undefined;
    this.direct = new DirectPrefixes({ ...options, store: upstream, renewalAge, isFirst });
  }

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
      renewLease: (lease) => store.renewLease(lease),
      revokeLease: (lease) => store.revokeLease(lease),
    };
  }

  /**
   * Time since the store told of a prefix, or another node that was asked answered, whatever that one
   * knew; infinite before the first time.
   */
  contactAge(prefix: string): Milliseconds {
    return Math.min(this.sources.contactAge(prefix), this.direct.contactAge(prefix));
  }

  /** Whether this node is to follow the store for others. */
  get isRelay(): boolean {
    return this.choice.isRelay;
  }

  /** Answers a follower that asks what changed. */
  answer(request: PeerRequestOf<'follow-prefix'>): Promise<PeerAnswers['follow-prefix']> {
    return this.direct.answer(request);
  }

  /** Answers a follower that asks for a prefix whole. */
  answerList(request: PeerRequestOf<'list-prefix'>): PeerAnswers['list-prefix'] {
    return this.direct.answerList(request);
  }

  private async list(prefix: string): Promise<StoreRangeOutcome> {
    const relays = this.choice.inOrder(this.isTurnedAway);
    if (relays === 'self') return this.noteOwn(prefix, await this.direct.list(prefix));
    this.direct.forget(prefix);
    if (this.withoutRelay.delete(prefix)) {
      return this.noteOwn(prefix, await this.options.store.range(prefix));
    }
    const outcome = await this.askRelays<'list-prefix'>({
      prefix,
      relays,
      wait: 0,
      ...this.listLimits(prefix),
      request: () => ({ kind: 'list-prefix', prefix }),
    });
    if (outcome.kind === 'answered') {
      const { items, revision } = outcome.answer;
      return { kind: 'items', items, revision };
    }
    if (outcome.kind === 'not-current' && this.believes(prefix)) {
      return { kind: 'failed', effect: 'not-done' };
    }
    const listed = this.noteOwn(prefix, await this.options.store.range(prefix));
    const isAlone = listed.kind === 'items' && outcome.kind === 'not-current';
    if (isAlone) for (const relay of outcome.relays) this.choice.penalize(relay);
    return listed;
  }

  /** A node that was told of the prefix before lists it within the time for a search. */
  private listLimits(
    prefix: string,
  ): Pick<RelayedQuestion<'list-prefix'>, 'answerLimit' | 'searchLimit'> {
    if (!this.sources.isKnown(prefix)) return { answerLimit: LIST_LIMIT, searchLimit: LIST_LIMIT };
    return { answerLimit: SEARCH_SHARE * this.options.changeBound(), searchLimit: 0 };
  }

  /**
   * Whether relays that hear nothing are taken on trust for one more list. A node that was told of
   * the prefix before has to know of a change within the bound, and asks the store first; one that
   * was not, or that the store did not answer, would only add to the calls of all others.
   */
  private believes(prefix: string): boolean {
    const believed =
      this.believedAnswers.get(prefix) ?? (this.sources.isKnown(prefix) ? BELIEVED_ANSWERS : 0);
    const isBelieved = believed < BELIEVED_ANSWERS;
    this.believedAnswers.set(prefix, isBelieved ? believed + 1 : 0);
    return isBelieved;
  }

  private async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const relays = this.choice.inOrder(this.isTurnedAway);
    if (relays === 'self') {
      const outcome = await this.direct.watch(prefix, after, wait, signal);
      return signal.aborted ? outcome : this.noteOwn(prefix, outcome);
    }
    this.direct.forget(prefix);
    if (relays.length === 0) return this.watchAlone(prefix, after, wait, signal);
    const limit = Math.min(wait, WAIT_SHARE * this.options.changeBound());
    const outcome = await this.askRelays<'follow-prefix'>({
      prefix,
      relays,
      wait: limit,
      answerLimit: ANSWER_LIMIT,
      searchLimit: SEARCH_SHARE * this.options.changeBound(),
      request: (left) => ({ kind: 'follow-prefix', prefix, after, wait: left }),
    });
    if (outcome.kind === 'no-relay') this.withoutRelay.add(prefix);
    // What the relays missed, a watch of this node may miss as well: the prefix is listed anew.
    if (outcome.kind !== 'answered') return { kind: 'compacted' };
    const { answer } = outcome;
    if (answer.changes === undefined) return { kind: 'compacted' };
    return { kind: 'changes', changes: answer.changes, revision: answer.revision };
  }

  /** Watches the store itself for a while: then the relays are tried again. */
  private async watchAlone(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const limit = longestWatch(prefix, wait, this.options);
    const outcome = await this.options.store.watch(prefix, after, limit, signal);
    return signal.aborted ? outcome : this.noteOwn(prefix, outcome);
  }

  /** Asks the relays in turn until one is current, or the time is over. */
  private async askRelays<Kind extends RelayedKind>(
    question: RelayedQuestion<Kind>,
  ): Promise<RelayedOutcome<RelayedAnswer<Kind>>> {
    const { peers, fleet, metrics, clock } = this.options;
    const { prefix, relays, wait, answerLimit, searchLimit, request } = question;
    const waitEnd = clock.now() + wait;
    const deadline = waitEnd + answerLimit + searchLimit;
    const notCurrent: NodeId[] = [];
    const refusals: string[] = [];
    for (const relay of relays) {
      const address = fleet().addressOf(relay);
      const waitLeft = Math.max(0, waitEnd - clock.now());
      const left = Math.min(waitLeft + answerLimit, deadline - clock.now());
      if (left <= 0) break;
      if (address === undefined) continue;
      const outcome = await peers.request<Kind>(address, request(waitLeft), left);
      const isCurrent = outcome.kind === 'answered' && outcome.answer.isCurrent;
      const told = outcome.kind === 'answered' ? 'not-current' : outcome.kind;
      metrics.count('relayed_watches', { outcome: isCurrent ? 'current' : told });
      if (isCurrent) {
        for (const other of notCurrent) this.choice.penalize(other);
        this.noteHeard(prefix, relay);
        return { kind: 'answered', answer: outcome.answer as RelayedAnswer<Kind> };
      }
      refusals.push(`${relay}:${told}`);
      if (outcome.kind === 'answered') {
        this.sources.noteContact(prefix);
        notCurrent.push(relay);
      } else this.choice.penalize(relay);
    }
    this.sources.noteUnheard(prefix, refusals);
    if (notCurrent.length === 0) return { kind: 'no-relay' };
    return { kind: 'not-current', relays: notCurrent };
  }

  /** Takes note of what the store itself answered. */
  private noteOwn<Outcome extends StoreRangeOutcome | StoreWatchOutcome>(
    prefix: string,
    outcome: Outcome,
  ): Outcome {
    if (outcome.kind === 'failed') this.failedAt = suspendAwareTime(this.options.clock);
    else if (outcome.kind !== 'compacted') this.noteHeard(prefix, STORE_SOURCE);
    return outcome;
  }

  /**
   * Whether the store failed this node, and has not renewed its lease since: others may be served
   * meanwhile, and what they hear is not lost to this node.
   */
  private get isTurnedAway(): boolean {
    const age = suspendAwareTime(this.options.clock) - this.failedAt;
    return this.options.fleet().renewalAge() > age;
  }

  private noteHeard(prefix: string, source: NodeId): void {
    this.believedAnswers.delete(prefix);
    this.sources.noteHeard(prefix, source);
  }
}
