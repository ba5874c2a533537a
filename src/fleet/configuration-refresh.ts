/**
 * The age of this node's configuration, and a read of the store that confirms or replaces the
 * configuration where the feed of changes is late. The store's reads are linearizable, so an answer
 * is complete as of the time when the read was sent.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { ConfigurationFreshness } from '../serving/configuration-decisions.js';
import type { SharedStore, StoreChange } from '../shared-store/shared-store.js';
import { hedgedRead } from './hedged-read.js';
import { conclusiveAge } from './prefix-freshness.js';
import { STORE_SOURCE } from './prefix-sources.js';

/** Time after which the read is repeated on another connection, as the first may be dead. */
const HEDGE_DELAY: Milliseconds = 250;

/** Time after a failed read in which no other is sent. */
const FAILURE_PAUSE: Milliseconds = 300;

export interface ConfigurationRefreshOptions {
  readonly store: Pick<SharedStore, 'get'>;
  /** Key of the configuration. */
  readonly key: string;
  /** Time for which changes may be missing from the feed; infinite before its first list. */
  readonly feedAge: () => Milliseconds;
  /** The relay or the store from which the feed was last received. */
  readonly feedSource: () => NodeId;
  /** Time within which a change must take effect. */
  readonly changeBound: () => Milliseconds;
  readonly isStoreUnreachable: () => boolean;
  /** Applies what was read; an older version than the active one has no effect. */
  readonly apply: (change: StoreChange) => void;
  readonly clock: Pick<Clock, 'now' | 'suspendedTime'>;
}

export class ConfigurationRefresh implements ConfigurationFreshness {
  private readAsOf: Milliseconds = Number.NEGATIVE_INFINITY;
  private failedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private pending: Promise<void> | undefined;

  constructor(private readonly options: ConfigurationRefreshOptions) {}

  get age(): Milliseconds {
    return Math.min(this.options.feedAge(), this.readAge);
  }

  get source(): NodeId {
    const { feedAge, feedSource } = this.options;
    return this.readAge < feedAge() ? STORE_SOURCE : feedSource();
  }

  get isCurrent(): boolean {
    return this.age <= conclusiveAge(this.options.changeBound());
  }

  /**
   * Reads the store; callers share a pending read. Resolves at once if the store does not answer
   * this node or has just failed a read.
   */
  async refresh(): Promise<void> {
    if (this.pending === undefined) {
      const isPaused = this.now() - this.failedAt < FAILURE_PAUSE;
      if (isPaused || this.options.isStoreUnreachable()) return;
      this.pending = this.read().finally(() => {
        this.pending = undefined;
      });
    }
    await this.pending;
  }

  private async read(): Promise<void> {
    const { store, key, apply } = this.options;
    const sentAt = this.now();
    const { outcome } = await hedgedRead({
      first: store.get(key),
      isFirstUsable: ({ kind }) => kind !== 'failed',
      delay: HEDGE_DELAY,
      second: () => store.get(key),
      isSecondUsable: ({ kind }) => kind !== 'failed',
    });
    if (outcome.kind === 'failed') {
      this.failedAt = this.now();
      return;
    }
    if (outcome.item !== undefined) apply(outcome.item);
    this.readAsOf = sentAt;
  }

  private get readAge(): Milliseconds {
    return this.now() - this.readAsOf;
  }

  private now(): Milliseconds {
    return suspendAwareTime(this.options.clock);
  }
}
