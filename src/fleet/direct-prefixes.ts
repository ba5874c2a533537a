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
import type {
  SharedStore,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../shared-store/shared-store.js';

/**
 * Maximum age of the last lease renewal at which a relay answers, so that a relay that is
 * partitioned from the store does not delay its followers.
 */
const MAX_RENEWAL_AGE: Milliseconds = 1_000;

/**
 * Maximum duration of a watch at the store, as a share of the change bound. A watch on a stalled
 * connection ends only by its own limit, and until then followers get no changes: for 2.4 s if the
 * bound is 2 s, with the 0.9 s that a call of the store's client may take for its answer.
 */
const WATCH_SHARE = 0.75;

/** Prefixes whose changes must take effect at all nodes within a time. */
export interface ChangeBound {
  /** Prefixes to which the bound applies. */
  readonly boundPrefixes: readonly string[];
  /** Time within which a change must take effect. */
  readonly changeBound: () => Milliseconds;
}

/** Duration of a watch at the store, given the duration that its caller requested. */
export function maxWatchDuration(
  prefix: string,
  wait: Milliseconds,
  bound: ChangeBound,
): Milliseconds {
  if (!bound.boundPrefixes.includes(prefix)) return wait;
  return Math.min(wait, Math.ceil(WATCH_SHARE * bound.changeBound()));
}

export interface DirectPrefixesOptions extends ChangeBound {
  readonly store: Pick<SharedStore, 'range' | 'watch'>;
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
  /** Whether a watch call is pending at the store. */
  isWaiting: boolean;
  lastOutcomeAt: Milliseconds;
}

/** Watches prefixes and answers the followers of this relay. */
export class DirectPrefixes {
  private readonly watches = new Map<string, DirectWatch>();
  private readonly prefixUpdates = new Subject<string>();
  /** Shared by all followers that request the same list, so that it is encoded once. */
  private readonly listAnswers = new WeakMap<PrefixSnapshot, PeerAnswers['list-prefix']>();

  constructor(private readonly options: DirectPrefixesOptions) {}

  /** Lists a prefix for this node and its followers. */
  async list(prefix: string): Promise<StoreRangeOutcome> {
    const { store, clock } = this.options;
    const outcome = await store.range(prefix);
    if (outcome.kind === 'failed') {
      this.stopServing(prefix);
      return outcome;
    }
    const existing = this.watches.get(prefix);
    if (existing === undefined) {
      const mirror = new PrefixMirror(outcome);
      this.watches.set(prefix, {
        mirror,
        isWaiting: false,
        lastOutcomeAt: suspendAwareTime(clock),
      });
    } else {
      existing.mirror.applyList(outcome);
      existing.lastOutcomeAt = suspendAwareTime(clock);
    }
    this.prefixUpdates.next(prefix);
    return outcome;
  }

  /** Watches a prefix for this node and its followers. */
  async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const { store, clock } = this.options;
    const watch = this.watches.get(prefix);
    // A node that just became a relay lists first, so that its followers miss nothing.
    if (watch === undefined || after > watch.mirror.revision) return { kind: 'compacted' };
    watch.isWaiting = true;
    const limit = maxWatchDuration(prefix, wait, this.options);
    const outcome = await store.watch(prefix, after, limit, signal);
    watch.isWaiting = false;
    if (outcome.kind === 'changes') {
      watch.lastOutcomeAt = suspendAwareTime(clock);
      watch.mirror.applyChanges(after, outcome.changes, outcome.revision);
    } else if (!signal.aborted) {
      // Changes until the next list are unknown here, so followers must not wait for them.
      this.watches.delete(prefix);
    }
    this.prefixUpdates.next(prefix);
    return outcome;
  }

  /** Stops serving a prefix. */
  stopServing(prefix: string): void {
    if (this.watches.delete(prefix)) this.prefixUpdates.next(prefix);
  }

  /** Answers a follower's watch: at once if there are changes or this node may have missed some. */
  async answer(request: PeerRequestOf<'follow-prefix'>): Promise<PeerAnswers['follow-prefix']> {
    const { prefix, after, wait } = request;
    const deadline = this.options.clock.now() + wait;
    const watch = this.watches.get(prefix);
    if (watch === undefined || this.mustRejectRelay(request)) return { isCurrent: false };
    for (;;) {
      if (this.watches.get(prefix) !== watch || !this.isCurrent(watch)) return { isCurrent: false };
      const changes = watch.mirror.changesAfter(after);
      if (changes === undefined) return { isCurrent: true, changes: undefined };
      const remaining = deadline - this.options.clock.now();
      if (changes.length > 0 || remaining <= 0) {
        return { isCurrent: true, changes, revision: Math.max(after, watch.mirror.revision) };
      }
      await this.waitForUpdate(prefix, Math.min(remaining, this.timeUntilStale()));
    }
  }

  answerList(request: PeerRequestOf<'list-prefix'>): PeerAnswers['list-prefix'] {
    const watch = this.watches.get(request.prefix);
    if (watch === undefined || !this.isCurrent(watch)) return { isCurrent: false };
    if (this.mustRejectRelay(request)) return { isCurrent: false };
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
