/**
 * One time budget for the path of a change from the store to a node, however many relays it takes.
 *
 * Every holder of a prefix knows the age of its data: the time for which changes may be missing. An
 * answer to another node carries that age, so the age at a node covers all nodes on the path. A node
 * reads the store itself at an age that leaves time for the store's answer within the change bound,
 * whichever nodes on the path have failed.
 */
import type { Milliseconds } from '../core/units.js';
import type { AnswerFreshness } from '../peers/peer-messages.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import { SHORT_LEASE } from './fleet-registry.js';

/** Ages of a node's data at which it acts, as shares of the change bound or as times. */
export interface AgeLimits {
  /** By this age, a requested node is asked to answer, even if there are no changes. */
  readonly answer: number;
  /** At this age, nodes other than the first are requested. */
  readonly search: number;
  /** At this age, the node reads the store beside its pending requests. */
  readonly store: number;
  /** Maximum age of another node's data at which its answer is of use. */
  readonly source: number;
}

/**
 * A relay that reads through the first relay of its region. For the first relay's data, this covers
 * the time between two renewals of its lease and the pause in which it collects changes.
 */
const RELAY_SHARES: AgeLimits = { answer: 0.35, search: 0.55, store: 0.55, source: 0.525 };

/** Accepts a relay that reads the store at the last moment, with some time for the store's answer. */
const FOLLOWER_SHARES: AgeLimits = { answer: 0.6, search: 0.65, store: 0.7, source: 0.6 };

/**
 * Limits of the wait of a request that is sent at an age near the limits, as shares of the change
 * bound: it is answered before the store is read, and requests do not spin.
 */
const SHORT_WAIT_SHARES = { min: 0.0125, max: 0.05 };

/**
 * Age up to which data proves that a change is absent, as a share of the change bound. Ages that
 * include a confirmation by renewals of a lease may be too low by the rest.
 */
const CONCLUSIVE_SHARE = 0.75;

/** Time for the answer to a renewal of a relay's lease. */
const RENEWAL_MARGIN: Milliseconds = 100;

/** Age of the data of an older build, which does not report it, as a share of the change bound. */
const UNREPORTED_AGE_SHARE = 0.25;

export function relayLimits(changeBound: Milliseconds): AgeLimits {
  return scaled(RELAY_SHARES, changeBound);
}

export function followerLimits(changeBound: Milliseconds): AgeLimits {
  return scaled(FOLLOWER_SHARES, changeBound);
}

/** Age up to which data proves that nothing else has been in force for the change bound. */
export function conclusiveAge(changeBound: Milliseconds): Milliseconds {
  return CONCLUSIVE_SHARE * changeBound;
}

/** Time for which a request may wait for changes at another node. */
export function maxWait(
  limits: AgeLimits,
  age: Milliseconds,
  changeBound: Milliseconds,
): Milliseconds {
  const { min, max } = SHORT_WAIT_SHARES;
  const halfOfRest = (limits.store - age) / 2;
  const shortWait = Math.max(min * changeBound, Math.min(halfOfRest, max * changeBound));
  return Math.ceil(Math.max(limits.answer - age, shortWait));
}

/** Age of the data in an answer that arrived a time after its request was sent. */
export function ageOnArrival(
  freshness: AnswerFreshness | undefined,
  duration: Milliseconds,
  changeBound: Milliseconds,
): Milliseconds {
  if (freshness === undefined) return UNREPORTED_AGE_SHARE * changeBound;
  return freshness.age + Math.max(0, duration - freshness.heldFor);
}

/** An answer of the store to a watch. */
interface StoreAnswer {
  /** Time since the watch was sent. */
  readonly duration: Milliseconds;
  readonly wait: Milliseconds;
  readonly isEmpty: boolean;
  /** Time since the store last renewed this node's lease. */
  readonly renewalAge: Milliseconds;
}

/**
 * Age of an answer of the store. If this node was frozen, the answer may have arrived at any time
 * since the last renewal of the lease; while renewals are regular, it has just arrived.
 */
export function ageOfStoreAnswer({
  duration,
  wait,
  isEmpty,
  renewalAge,
}: StoreAnswer): Milliseconds {
  if (renewalAge <= SHORT_LEASE.renewalInterval + RENEWAL_MARGIN) return 0;
  return Math.min(renewalAge, Math.max(0, isEmpty ? duration - wait : duration));
}

function scaled(shares: AgeLimits, bound: Milliseconds): AgeLimits {
  return {
    answer: shares.answer * bound,
    search: shares.search * bound,
    store: shares.store * bound,
    source: shares.source * bound,
  };
}

/** An outcome with the age of its data on arrival; absent if the store itself has answered. */
export type Aged<Outcome> = Outcome & {
  readonly age?: Milliseconds;
  /** Age of the receiver's data just before, if it was confirmed while the receiver waited. */
  readonly previousAge?: Milliseconds;
};

/** The age of this node's own data, by prefix. */
export class PrefixFreshness {
  /** By {@link suspendAwareTime}. */
  private readonly currentAsOf = new Map<string, Milliseconds>();

  constructor(private readonly clock: Clock) {}

  /** Time for which changes may be missing; infinite before the first list. */
  age(prefix: string): Milliseconds {
    return (
      suspendAwareTime(this.clock) - (this.currentAsOf.get(prefix) ?? Number.NEGATIVE_INFINITY)
    );
  }

  /** Records that data of an age was received. Data is never given up for older data. */
  noteReceived(prefix: string, age: Milliseconds): void {
    const asOf = suspendAwareTime(this.clock) - age;
    const known = this.currentAsOf.get(prefix) ?? Number.NEGATIVE_INFINITY;
    this.currentAsOf.set(prefix, Math.max(known, asOf));
  }
}
