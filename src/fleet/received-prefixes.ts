/**
 * What this node has received of each prefix: from which source, how old its data is, and whether
 * the store answers its reads.
 */
import type { Milliseconds } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { StoreRangeOutcome, StoreWatchOutcome } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { PrefixFreshness } from './prefix-freshness.js';
import { PrefixSources, STORE_SOURCE } from './prefix-sources.js';
import type { RelayFleet } from './relay-choice.js';

export interface ReceivedPrefixesOptions {
  readonly fleet: () => Pick<RelayFleet, 'renewalAge'>;
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'state'>;
}

export class ReceivedPrefixes {
  readonly sources: PrefixSources;
  readonly freshness: PrefixFreshness;
  /** When a list or watch of this node at the store last failed, by {@link suspendAwareTime}. */
  private storeFailedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Prefixes that were not received since this node last failed to read them at the store. */
  private readonly unreadAtStore = new Set<string>();

  constructor(private readonly options: ReceivedPrefixesOptions) {
    this.sources = new PrefixSources(options);
    this.freshness = new PrefixFreshness(options.clock);
  }

  /**
   * Whether the store failed a call of this node and has not renewed its lease since; other nodes
   * may still be served.
   */
  get isRejectedByStore(): boolean {
    const age = suspendAwareTime(this.options.clock) - this.storeFailedAt;
    return this.options.fleet().renewalAge() > age;
  }

  /**
   * Whether this node reads a prefix at the store once its data is too old. A node that the store
   * has just failed would only add load to it.
   */
  mayReadAtStore(prefix: string): boolean {
    const wasListed = Number.isFinite(this.freshness.age(prefix));
    return wasListed && !this.isRejectedByStore && !this.unreadAtStore.has(prefix);
  }

  /** Records the outcome of a read at the store, or through the first relay in its place. */
  noteStoreOutcome<Outcome extends StoreRangeOutcome | StoreWatchOutcome>(
    prefix: string,
    outcome: Outcome,
    age: Milliseconds,
  ): Outcome {
    if (outcome.kind === 'failed') {
      this.storeFailedAt = suspendAwareTime(this.options.clock);
      this.unreadAtStore.add(prefix);
    } else if (outcome.kind !== 'compacted') {
      this.sources.noteReceived(prefix, STORE_SOURCE);
      this.noteReceived(prefix, age);
    }
    return outcome;
  }

  /** Records data that was received from the store or a relay, once it is certain to be used. */
  noteReceived(prefix: string, age: Milliseconds): void {
    this.unreadAtStore.delete(prefix);
    this.freshness.noteReceived(prefix, age);
  }
}
