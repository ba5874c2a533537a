/**
 * What this node has received of each prefix: from which source, how old its data is, and whether
 * the store answers its reads.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { StoreRangeOutcome, StoreWatchOutcome } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { ChangeBound } from './direct-prefixes.js';
import { LateChanges } from './late-changes.js';
import { type AgeLimits, PrefixFreshness } from './prefix-freshness.js';
import { PrefixSources, STORE_SOURCE } from './prefix-sources.js';
import type { RelayFleet } from './relay-choice.js';

export interface ReceivedPrefixesOptions extends Pick<ChangeBound, 'boundPrefixes'> {
  readonly fleet: () => Pick<RelayFleet, 'renewalAge'>;
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'state'>;
}

/** A list or changes, on arrival. */
interface Receipt {
  readonly prefix: string;
  readonly by: NodeId;
  readonly outcome: StoreRangeOutcome | StoreWatchOutcome;
  /** Age of the data. */
  readonly age: Milliseconds;
  /** Age of this node's data just before. @default the age of what was received last */
  readonly previousAge?: Milliseconds | undefined;
  readonly limits: AgeLimits;
}

export class ReceivedPrefixes {
  readonly sources: PrefixSources;
  readonly freshness: PrefixFreshness;
  private readonly lateChanges: LateChanges;
  /** Revision up to which each prefix was received. */
  private readonly revisions = new Map<string, Revision>();
  /** When a list or watch of this node at the store last failed, by {@link suspendAwareTime}. */
  private storeFailedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Prefixes that were not received since this node last failed to read them at the store. */
  private readonly unreadAtStore = new Set<string>();

  constructor(private readonly options: ReceivedPrefixesOptions) {
    this.sources = new PrefixSources(options);
    this.freshness = new PrefixFreshness(options.clock);
    this.lateChanges = new LateChanges(options);
  }

  /**
   * Whether the store failed a call of this node and has not renewed its lease since; other nodes
   * may still be served.
   */
  get isRejectedByStore(): boolean {
    const age = suspendAwareTime(this.options.clock) - this.storeFailedAt;
    return this.renewalAge > age;
  }

  /** Time since the store last renewed this node's lease. */
  get renewalAge(): Milliseconds {
    return this.options.fleet().renewalAge();
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
    ages: Pick<Receipt, 'age' | 'previousAge'>,
    limits: AgeLimits,
  ): Outcome {
    if (outcome.kind === 'failed') {
      this.storeFailedAt = suspendAwareTime(this.options.clock);
      this.unreadAtStore.add(prefix);
    } else if (outcome.kind !== 'compacted') {
      this.sources.noteReceived(prefix, STORE_SOURCE);
      this.noteReceived({ prefix, by: STORE_SOURCE, outcome, ...ages, limits });
    }
    return outcome;
  }

  /** Records data that was received from the store or a relay, once it is certain to be used. */
  noteReceived(receipt: Receipt): void {
    const { prefix, by, outcome, age: sourceAge, limits } = receipt;
    this.unreadAtStore.delete(prefix);
    const { previousAge: age = this.freshness.age(prefix) } = receipt;
    const isBound = this.options.boundPrefixes.includes(prefix);
    if (isBound && this.hasChanges(prefix, outcome))
      this.lateChanges.note({ prefix, by, age, sourceAge, maxAge: limits.search });
    this.freshness.noteReceived(prefix, sourceAge);
    if ('revision' in outcome) this.revisions.set(prefix, outcome.revision);
  }

  private hasChanges(prefix: string, outcome: StoreRangeOutcome | StoreWatchOutcome): boolean {
    if (outcome.kind === 'changes') return outcome.changes.length > 0;
    const known = this.revisions.get(prefix) ?? 0;
    return outcome.kind === 'items' && outcome.items.some(({ revision }) => revision > known);
  }
}
