/**
 * The prefixes that this node follows for others, at the shared store or by way of the first relay of
 * its region, and what it tells others of them.
 * It answers only while it surely hears from the store: the store has renewed its lease lately, and
 * its own watch waits there on a call that is not old.
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
 * A relay answers only while the store has renewed its lease this recently, so that a relay that
 * is cut off from the store does not hold its followers back.
 */
const FRESHNESS: Milliseconds = 1_000;

/**
 * Longest watch at the store, as a share of the bound for a configuration. A watch on a connection
 * that went silent ends only by its own limit, and until then all followers are told "nothing new":
 * for 26 s where the watch waited 25 s (test of silent watches), for 2.4 s with this share of a
 * bound of 2 s and 0.9 s for the answer.
 */
const WATCH_SHARE = 0.75;

/** Which changes have to be known when. */
export interface ChangeBound {
  /** The prefixes whose changes have to be in force at all nodes in time. */
  readonly boundPrefixes: readonly string[];
  /** Time in which such a change has to be in force. */
  readonly changeBound: () => Milliseconds;
}

/** Time for which a watch may wait at the store, of what its caller would wait. */
export function longestWatch(prefix: string, wait: Milliseconds, bound: ChangeBound): Milliseconds {
  if (!bound.boundPrefixes.includes(prefix)) return wait;
  return Math.min(wait, Math.ceil(WATCH_SHARE * bound.changeBound()));
}

/** Options of {@link DirectPrefixes}. */
export interface DirectPrefixesOptions extends ChangeBound {
  readonly store: Pick<SharedStore, 'range' | 'watch'>;
  /** Whether this node reads the store itself, and not by way of another relay. @default it does */
  readonly isFirst?: () => boolean;
  /** Time since the store last renewed this node's lease. */
  readonly renewalAge: () => Milliseconds;
  readonly clock: Clock;
}

/** One prefix that this node follows at the store itself. */
interface DirectWatch {
  readonly mirror: PrefixMirror;
  /** Whether a call waits at the store. */
  isWaiting: boolean;
  lastOutcomeAt: Milliseconds;
}

/** Follows prefixes at the store, and tells other nodes of them. */
export class DirectPrefixes {
  private readonly watches = new Map<string, DirectWatch>();
  private readonly grown = new Subject<string>();
  /** One answer for all followers that ask for the same list, so that it is written out once. */
  private readonly listAnswers = new WeakMap<PrefixSnapshot, PeerAnswers['list-prefix']>();

  constructor(private readonly options: DirectPrefixesOptions) {}

  /** Lists a prefix at the store, for this node and its followers. */
  async list(prefix: string): Promise<StoreRangeOutcome> {
    const { store, clock } = this.options;
    const outcome = await store.range(prefix);
    if (outcome.kind === 'failed') {
      this.forget(prefix);
      return outcome;
    }
    const known = this.watches.get(prefix);
    if (known === undefined) {
      const mirror = new PrefixMirror(outcome);
      this.watches.set(prefix, {
        mirror,
        isWaiting: false,
        lastOutcomeAt: suspendAwareTime(clock),
      });
    } else {
      known.mirror.applyList(outcome);
      known.lastOutcomeAt = suspendAwareTime(clock);
    }
    this.grown.next(prefix);
    return outcome;
  }

  /** Watches a prefix at the store, for this node and its followers. */
  async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const { store, clock } = this.options;
    const watch = this.watches.get(prefix);
    // A node that just became a relay lists first, so that it can tell its followers all.
    if (watch === undefined || after > watch.mirror.revision) return { kind: 'compacted' };
    watch.isWaiting = true;
    const limit = longestWatch(prefix, wait, this.options);
    const outcome = await store.watch(prefix, after, limit, signal);
    watch.isWaiting = false;
    if (outcome.kind === 'changes') {
      watch.lastOutcomeAt = suspendAwareTime(clock);
      watch.mirror.applyChanges(after, outcome.changes, outcome.revision);
    } else if (!signal.aborted) {
      // What comes until the next list is not known here: followers must not wait for it.
      this.watches.delete(prefix);
    }
    this.grown.next(prefix);
    return outcome;
  }

  /** Tells nobody of this prefix any more. */
  forget(prefix: string): void {
    if (this.watches.delete(prefix)) this.grown.next(prefix);
  }

  /** Answers a follower that asks what changed: at once where something did or may be missed here. */
  async answer(request: PeerRequestOf<'follow-prefix'>): Promise<PeerAnswers['follow-prefix']> {
    const { prefix, after, wait } = request;
    const deadline = this.options.clock.now() + wait;
    const watch = this.watches.get(prefix);
    if (watch === undefined || this.isTooFar(request)) return { isCurrent: false };
    for (;;) {
      if (this.watches.get(prefix) !== watch || !this.isCurrent(watch)) return { isCurrent: false };
      const changes = watch.mirror.changesAfter(after);
      if (changes === undefined) return { isCurrent: true, changes: undefined };
      const remaining = deadline - this.options.clock.now();
      if (changes.length > 0 || remaining <= 0) {
        return { isCurrent: true, changes, revision: Math.max(after, watch.mirror.revision) };
      }
      await this.growthWithin(prefix, Math.min(remaining, this.timeToStale()));
    }
  }

  /** Answers a follower that asks for a prefix whole. */
  answerList(request: PeerRequestOf<'list-prefix'>): PeerAnswers['list-prefix'] {
    const watch = this.watches.get(request.prefix);
    if (watch === undefined || !this.isCurrent(watch)) return { isCurrent: false };
    if (this.isTooFar(request)) return { isCurrent: false };
    const { snapshot } = watch.mirror;
    const known = this.listAnswers.get(snapshot) ?? { isCurrent: true, ...snapshot };
    this.listAnswers.set(snapshot, known);
    return known;
  }

  /** Time since the store was surely there to tell of a prefix; infinite where it is not followed. */
  contactAge(prefix: string): Milliseconds {
    const watch = this.watches.get(prefix);
    const isFollowed = watch !== undefined && this.isFollowing(watch);
    return isFollowed ? this.options.renewalAge() : Number.POSITIVE_INFINITY;
  }

  /** Whether another relay asks, and this node is no nearer to the store than that one. */
  private isTooFar({ forRelay = false }: PeerRequestOf<'follow-prefix' | 'list-prefix'>): boolean {
    const { isFirst = () => true } = this.options;
    return forRelay && !isFirst();
  }

  /** Whether this node surely hears of changes now. */
  private isCurrent(watch: DirectWatch): boolean {
    return this.isFollowing(watch) && this.options.renewalAge() < FRESHNESS;
  }

  private isFollowing({ isWaiting, lastOutcomeAt }: DirectWatch): boolean {
    return isWaiting || suspendAwareTime(this.options.clock) - lastOutcomeAt < FRESHNESS;
  }

  /** Time until the last renewal of the lease is too old to say anything, unless another comes. */
  private timeToStale(): Milliseconds {
    return Math.max(1, FRESHNESS - this.options.renewalAge());
  }

  /** Resolves once the prefix has grown, or after a time. */
  private async growthWithin(prefix: string, time: Milliseconds): Promise<void> {
    const growth = this.grown.pipe(filter((grownPrefix) => grownPrefix === prefix));
    await firstValueFrom(growth.pipe(raceWith(timer(time))), { defaultValue: 0 });
  }
}
