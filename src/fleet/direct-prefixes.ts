/**
 * Prefixes that this node, as a relay, watches at the store or at the first relay of its region,
 * and serves to its followers. A relay answers only while its lease was renewed recently and its
 * own watch is recent.
 */
import { filter, firstValueFrom, raceWith, Subject, timer } from 'rxjs';
import type { Milliseconds, Revision } from '../core/units.js';
import type { PeerAnswers, PeerRequestOf } from '../peers/peer-messages.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import { PrefixMirror, type PrefixSnapshot } from '../shared-store/prefix-mirror.js';
import type { StoreRangeOutcome, StoreWatchOutcome } from '../shared-store/shared-store.js';
import { type Aged, ageOfStoreAnswer } from './prefix-freshness.js';

/**
 * Maximum age of the last lease renewal at which a relay answers, so that a relay that is
 * partitioned from the store does not delay its followers.
 */
const MAX_RENEWAL_AGE: Milliseconds = 1_000;

/**
 * Maximum duration of a watch at the store, as a share of the change bound. A watch on a stalled
 * connection is replaced only once its answer is overdue, and until then followers get no changes.
 */
const WATCH_SHARE = 0.55;

/**
 * Time for which renewals of the lease confirm a waiting watch, as a share of the change bound. They
 * show that the store answers this node, not that the connection of the watch is alive.
 */
const RENEWAL_SHARE = 0.15;

/** Maximum age of the data at which a watch is sent that renewals confirm, as a share of the bound. */
const RECENT_SHARE = 0.25;

/**
 * Maximum time by which renewals make the data of a stalled watch count as more recent than it is, as
 * a share of the change bound. With the age at which a follower reads the store, it is below the bound.
 */
const UNPROVEN_SHARE = 0.25;

/** Prefixes whose changes must take effect at all nodes within a time. */
export interface ChangeBound {
  /** Prefixes to which the bound applies. */
  readonly boundPrefixes: readonly string[];
  /** Time within which a change must take effect. */
  readonly changeBound: () => Milliseconds;
  /** Time in which the store answered the last call. @default 0 */
  readonly roundTripTime?: () => Milliseconds;
}

/** Least duration of a watch at a store that takes long to answer, as a share of the change bound. */
const MIN_WATCH_SHARE = 0.05;

/**
 * Duration of a watch at the store, given the duration that its caller requested. Together with the
 * time of the answer it stays the same however slow the store is.
 */
export function maxWatchDuration(
  prefix: string,
  wait: Milliseconds,
  bound: ChangeBound,
): Milliseconds {
  const { boundPrefixes, changeBound, roundTripTime = () => 0 } = bound;
  if (!boundPrefixes.includes(prefix)) return wait;
  const share = WATCH_SHARE * changeBound() - roundTripTime();
  return Math.min(wait, Math.ceil(Math.max(share, MIN_WATCH_SHARE * changeBound())));
}

/** The store, or another node in its place. */
export interface PrefixUpstream {
  range(prefix: string): Promise<Aged<StoreRangeOutcome>>;
  watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<Aged<StoreWatchOutcome>>;
  /**
   * When the last watch of a prefix was sent to the store, by {@link suspendAwareTime}; `undefined`
   * if it was sent to another node only. Absent if all watches are sent to the store.
   */
  readonly storeWatchSentAt?: (prefix: string) => Milliseconds | undefined;
}

export interface DirectPrefixesOptions extends ChangeBound {
  readonly store: PrefixUpstream;
  /**
   * Whether this node reads the store itself rather than through another relay. @default it does
   */
  readonly readsStoreDirectly?: () => boolean;
  /** Time since the store last renewed this node's lease. */
  readonly renewalAge: () => Milliseconds;
  readonly clock: Clock;
}

/** A prefix that this node watches itself. */
interface DirectWatch {
  readonly mirror: PrefixMirror;
  /** Whether a watch call is pending at the store or at another relay. */
  isWaiting: boolean;
  sentAt: Milliseconds;
  lastOutcomeAt: Milliseconds;
  /** Time as of which the mirror is known to be complete. */
  currentAsOf: Milliseconds;
}

/** Watches prefixes and answers the followers of this relay. */
export class DirectPrefixes {
  private readonly watches = new Map<string, DirectWatch>();
  private readonly prefixUpdates = new Subject<string>();
  /** Shared by all followers that request the same list, so that it is encoded once. */
  private readonly listAnswers = new WeakMap<PrefixSnapshot, PeerAnswers['list-prefix']>();

  constructor(private readonly options: DirectPrefixesOptions) {}

  /** Lists a prefix for this node and its followers. */
  async list(prefix: string): Promise<Aged<StoreRangeOutcome>> {
    const { store, clock } = this.options;
    const sentAt = suspendAwareTime(clock);
    const outcome = await store.range(prefix);
    if (outcome.kind === 'failed') {
      this.stopServing(prefix);
      return outcome;
    }
    const lastOutcomeAt = suspendAwareTime(clock);
    // A list is complete as of the time when the store began to read it.
    const { age = lastOutcomeAt - sentAt } = outcome;
    const currentAsOf = lastOutcomeAt - age;
    const existing = this.watches.get(prefix);
    if (existing === undefined) {
      const mirror = new PrefixMirror(outcome);
      this.watches.set(prefix, { mirror, isWaiting: false, sentAt, lastOutcomeAt, currentAsOf });
    } else {
      existing.mirror.applyList(outcome);
      existing.lastOutcomeAt = lastOutcomeAt;
      existing.currentAsOf = Math.max(existing.currentAsOf, currentAsOf);
    }
    this.prefixUpdates.next(prefix);
    return { ...outcome, age };
  }

  /** Watches a prefix for this node and its followers. */
  async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<Aged<StoreWatchOutcome>> {
    const { store, clock } = this.options;
    const watch = this.watches.get(prefix);
    // A node that just became a relay lists first, so that its followers miss nothing.
    if (watch === undefined || after > watch.mirror.revision) return { kind: 'compacted' };
    watch.isWaiting = true;
    watch.sentAt = suspendAwareTime(clock);
    const limit = maxWatchDuration(prefix, wait, this.options);
    const outcome = await store.watch(prefix, after, limit, signal);
    const previousAge = this.ageOf(prefix, watch);
    watch.isWaiting = false;
    const { age = this.ageOnArrival(watch, outcome, limit) } = outcome;
    if (outcome.kind === 'changes') {
      watch.lastOutcomeAt = suspendAwareTime(clock);
      watch.currentAsOf = Math.max(watch.currentAsOf, watch.lastOutcomeAt - age);
      watch.mirror.applyChanges(after, outcome.changes, outcome.revision);
    } else if (!signal.aborted) {
      // Changes until the next list are unknown here, so followers must not wait for them.
      this.watches.delete(prefix);
    }
    this.prefixUpdates.next(prefix);
    return outcome.kind === 'changes' ? { ...outcome, age, previousAge } : outcome;
  }

  /** Stops serving a prefix. */
  stopServing(prefix: string): void {
    if (this.watches.delete(prefix)) this.prefixUpdates.next(prefix);
  }

  /** Answers a follower's watch: at once if there are changes or this node may have missed some. */
  async answer(request: PeerRequestOf<'follow-prefix'>): Promise<PeerAnswers['follow-prefix']> {
    const { prefix, after, wait, maxAge } = request;
    const receivedAt = this.options.clock.now();
    const watch = this.watches.get(prefix);
    if (watch === undefined || this.mustRejectRelay(request)) return { isCurrent: false };
    for (;;) {
      if (this.watches.get(prefix) !== watch) return { isCurrent: false };
      const age = this.ageOf(prefix, watch);
      if (!this.isCurrent(watch)) return { isCurrent: false };
      if (age > (maxAge ?? age)) {
        return { isCurrent: false, ...(watch.isWaiting ? { isReadingStore: true } : {}) };
      }
      const changes = watch.mirror.changesAfter(after);
      if (changes === undefined) return { isCurrent: true, changes: undefined };
      const heldFor = this.options.clock.now() - receivedAt;
      if (changes.length > 0 || heldFor >= wait) {
        const revision = Math.max(after, watch.mirror.revision);
        const freshness = maxAge === undefined ? {} : { freshness: { age, heldFor } };
        return { isCurrent: true, changes, revision, ...freshness };
      }
      const timeUntilTooOld = maxAge === undefined ? wait : Math.max(1, maxAge - age);
      const time = Math.min(wait - heldFor, timeUntilTooOld, this.timeUntilStale());
      await this.waitForUpdate(prefix, time);
    }
  }

  answerList(request: PeerRequestOf<'list-prefix'>): PeerAnswers['list-prefix'] {
    const watch = this.watches.get(request.prefix);
    if (watch === undefined || !this.isCurrent(watch)) return { isCurrent: false };
    if (this.mustRejectRelay(request)) return { isCurrent: false };
    const { maxAge = Number.POSITIVE_INFINITY } = request;
    if (this.ageOf(request.prefix, watch) > maxAge) return { isCurrent: false };
    const { snapshot } = watch.mirror;
    const cached = this.listAnswers.get(snapshot) ?? { isCurrent: true, ...snapshot };
    this.listAnswers.set(snapshot, cached);
    return cached;
  }

  /**
   * Time since the store is known to have been reachable for a prefix; infinite if this node does
   * not watch it.
   */
  contactAge(prefix: string): Milliseconds {
    const watch = this.watches.get(prefix);
    const isFollowed = watch !== undefined && this.isFollowing(watch);
    return isFollowed ? this.options.renewalAge() : Number.POSITIVE_INFINITY;
  }

  /** Whether to reject the request of another relay, as this node also reads through a relay. */
  private mustRejectRelay({
    forRelay = false,
  }: PeerRequestOf<'follow-prefix' | 'list-prefix'>): boolean {
    const { readsStoreDirectly = () => true } = this.options;
    return forRelay && !readsStoreDirectly();
  }

  /**
   * Time for which changes may be missing from a mirror. A watch that waits at the store counts as
   * complete until a renewal of the lease that was sent after the watch and answered, for a limited
   * time; a watch that waits at another node proves nothing until its answer.
   */
  private ageOf(prefix: string, watch: DirectWatch): Milliseconds {
    const { clock, renewalAge } = this.options;
    const now = suspendAwareTime(clock);
    const confirmedAt = Math.min(now - renewalAge(), this.confirmableUntil(prefix, watch));
    return now - Math.max(watch.currentAsOf, confirmedAt);
  }

  /** Until when renewals of the lease confirm the pending watch; not at all if it may be stalled. */
  private confirmableUntil(
    prefix: string,
    { isWaiting, sentAt, currentAsOf }: DirectWatch,
  ): Milliseconds {
    const { store, boundPrefixes, changeBound, renewalAge, clock } = this.options;
    const sentToStoreAt = store.storeWatchSentAt ? store.storeWatchSentAt(prefix) : sentAt;
    const renewedAt = suspendAwareTime(clock) - renewalAge();
    if (!isWaiting || sentToStoreAt === undefined || renewedAt < sentToStoreAt) return currentAsOf;
    if (!boundPrefixes.includes(prefix)) return Number.POSITIVE_INFINITY;
    // Data that is old when a watch is sent shows that earlier calls were not answered.
    const bound = changeBound();
    if (sentToStoreAt - currentAsOf > RECENT_SHARE * bound) return currentAsOf;
    return Math.min(sentToStoreAt + RENEWAL_SHARE * bound, currentAsOf + UNPROVEN_SHARE * bound);
  }

  private ageOnArrival(
    { sentAt }: DirectWatch,
    outcome: StoreWatchOutcome,
    wait: Milliseconds,
  ): Milliseconds {
    const duration = suspendAwareTime(this.options.clock) - sentAt;
    const isEmpty = outcome.kind === 'changes' && outcome.changes.length === 0;
    return ageOfStoreAnswer({ duration, wait, isEmpty, renewalAge: this.options.renewalAge() });
  }

  /** Whether this node is certain to receive changes now. */
  private isCurrent(watch: DirectWatch): boolean {
    return this.isFollowing(watch) && this.options.renewalAge() < MAX_RENEWAL_AGE;
  }

  private isFollowing({ isWaiting, lastOutcomeAt }: DirectWatch): boolean {
    return isWaiting || suspendAwareTime(this.options.clock) - lastOutcomeAt < MAX_RENEWAL_AGE;
  }

  /** Time until the last lease renewal is too old to answer, unless another follows. */
  private timeUntilStale(): Milliseconds {
    return Math.max(1, MAX_RENEWAL_AGE - this.options.renewalAge());
  }

  /** Resolves once the prefix was updated, or after a time. */
  private async waitForUpdate(prefix: string, time: Milliseconds): Promise<void> {
    const updates = this.prefixUpdates.pipe(filter((updatedPrefix) => updatedPrefix === prefix));
    await firstValueFrom(updates.pipe(raceWith(timer(time))), { defaultValue: 0 });
  }
}
