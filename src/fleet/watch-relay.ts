/**
 * Lists and watches the shared store through relays: a few nodes of each zone watch the store and
 * the others request changes from them, so that the load on the store does not grow with the fleet.
 *
 * A change must take effect at a follower within a bound even if relays fail, so one time budget
 * covers all nodes between the follower and the store ({@link PrefixFreshness}).
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { PeerAnswers, PeerPort, PeerRequestOf } from '../peers/peer-messages.js';
import type {
  SharedStore,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { type ChangeBound, DirectPrefixes } from './direct-prefixes.js';
import { PrefixFollower } from './prefix-follower.js';
import { type Aged, type AgeLimits, relayLimits } from './prefix-freshness.js';
import { ReceivedPrefixes } from './received-prefixes.js';
import { RelayChoice, type RelayChoiceOptions } from './relay-choice.js';
import { RelayRequests } from './relay-requests.js';
import { RelayUpstream } from './relay-upstream.js';
import { RoundTripEstimate, timedStore } from './round-trip-estimate.js';

export interface WatchRelayOptions extends RelayChoiceOptions, ChangeBound {
  readonly store: SharedStore;
  readonly peers: PeerPort;
  /** The prefixes that all nodes watch; others are always read at the store. */
  readonly prefixes: readonly string[];
  readonly log: Pick<DecisionLog, 'state'>;
  readonly metrics: FleetMetrics;
}

/** Watches the store through relays, and relays it to other nodes. */
export class WatchRelay {
  private readonly received: ReceivedPrefixes;
  private readonly direct: DirectPrefixes;
  private readonly choice: RelayChoice;
  private readonly follower: PrefixFollower;
  private readonly options: WatchRelayOptions;

  constructor(untimed: WatchRelayOptions) {
    const { fleet, clock } = untimed;
    const roundTrips = new RoundTripEstimate();
    const options = {
      ...untimed,
      store: timedStore(untimed.store, roundTrips, clock),
      ...{ roundTrips, roundTripTime: () => roundTrips.latest },
    };
    this.options = options;
    const received = new ReceivedPrefixes(options);
    const choice = new RelayChoice(options);
    const { freshness, sources } = received;
    this.received = received;
    this.choice = choice;
    this.direct = new DirectPrefixes({
      ...options,
      store: new RelayUpstream({ ...options, choice, freshness }),
      renewalAge: () => fleet().renewalAge(),
      readsStoreDirectly: () => choice.firstRelay() === undefined,
    });
    const requests = new RelayRequests({ ...options, choice, sources });
    this.follower = new PrefixFollower({ ...options, choice, requests, received });
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
    return Math.min(this.received.sources.contactAge(prefix), this.direct.contactAge(prefix));
  }

  /** Time for which changes of a prefix may be missing here; infinite before the first list. */
  dataAge(prefix: string): Milliseconds {
    return this.received.freshness.age(prefix);
  }

  /** The relay or the store from which this node last received a prefix. */
  sourceOf(prefix: string): NodeId {
    return this.received.sources.sourceOf(prefix);
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
    const { received } = this;
    const relays = this.choice.relaysInOrder(received.isRejectedByStore);
    if (relays !== 'self') {
      this.direct.stopServing(prefix);
      return this.follower.list(prefix, relays);
    }
    const outcome = await this.direct.list(prefix);
    return received.noteStoreOutcome(prefix, outcome, agesOf(outcome), this.limits);
  }

  private async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const { received } = this;
    const relays = this.choice.relaysInOrder(received.isRejectedByStore);
    if (relays !== 'self') {
      this.direct.stopServing(prefix);
      return this.follower.watch(prefix, relays, after, wait, signal);
    }
    const outcome = await this.direct.watch(prefix, after, wait, signal);
    if (signal.aborted) return outcome;
    return received.noteStoreOutcome(prefix, outcome, agesOf(outcome), this.limits);
  }

  /** The limits of a relay. */
  private get limits(): AgeLimits {
    return relayLimits(this.options.changeBound());
  }
}

function agesOf({ age = 0, previousAge }: Aged<object>): {
  readonly age: Milliseconds;
  readonly previousAge: Milliseconds | undefined;
} {
  return { age, previousAge };
}
