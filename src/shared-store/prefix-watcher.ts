/**
 * Follows a prefix of the shared store with a list and then watches. After compacted history or a
 * failed call it lists again and reports the difference, and once more after a delay, because a watch
 * that starts while the store recovers may miss changes. A list may be older than what is known, so
 * newer revisions win. Retries back off with jitter.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Subject } from 'rxjs';
import type { Milliseconds, Revision } from '../core/units.js';
import type { SharedStore, StoreChange, StoreItem } from './shared-store.js';

export interface PrefixWatcherOptions {
  readonly store: SharedStore;
  readonly prefix: string;
  /** Maximum wait of one watch call. @default 25,000 ms */
  readonly wait?: Milliseconds;
  /** Pause between an answer and the next watch, so that one call returns a burst. @default 100 ms */
  readonly coalesce?: Milliseconds;
  /** Pause after the first failed call; doubles with each further failure. @default 250 ms */
  readonly retryPause?: Milliseconds;
  /** Upper limit of the pause after a failed call. @default 1,000 ms */
  readonly maxRetryPause?: Milliseconds;
  /** Time after which a list that followed a loss is repeated. @default 1,000 ms */
  readonly relistDelay?: Milliseconds;
}

const DEFAULTS = {
  wait: 25_000,
  coalesce: 100,
  retryPause: 250,
  maxRetryPause: 1_000,
  relistDelay: 1_000,
} as const;

/** Randomized share of a pause, so that nodes do not retry simultaneously. */
const JITTER_SHARE = 0.3;

/** Time after a removal in which a list from before it may still arrive. */
const MAX_LIST_DELAY: Milliseconds = 10_000;

/** A key that was removed. */
interface Removal {
  /** The key was absent at this revision; lists of earlier revisions may still contain it. */
  readonly asOf: Revision;
  /** Items of the key up to this revision are gone, by a change that reported the removal. */
  readonly itemsUpTo: Revision;
  /** Steady time at which the removal was learned. */
  readonly learnedAt: Milliseconds;
}

/** A batch of changes. */
export interface PrefixUpdate {
  readonly changes: readonly StoreChange[];
  /** Whether the batch comes from a full list. */
  readonly listed: boolean;
}

/** Emitted when calls to the store begin to fail, and when they succeed again. */
export type WatchHealth = 'lost' | 'regained';

/** Lists and watches one prefix until stopped, and retries failed calls. */
export class PrefixWatcher {
  /** Batches of changes, in order. */
  readonly updates = new Subject<PrefixUpdate>();
  /** Transitions of the connection to the store. */
  readonly health = new Subject<WatchHealth>();
  private readonly options: Required<PrefixWatcherOptions>;
  private isStopped = false;
  private watchAbort = new AbortController();
  private readonly knownRevisions = new Map<string, Revision>();
  private readonly removals = new Map<string, Removal>();
  private failures = 0;
  private revision: Revision = 0;
  private isDisconnected = false;
  private isListed = false;
  /** Whether changes may have been missed since the last list. */
  private hadLoss = false;
  /** Steady time at which the list is repeated. */
  private relistAt: Milliseconds | undefined;

  constructor(options: PrefixWatcherOptions) {
    this.options = { ...DEFAULTS, ...options };
  }

  get prefix(): string {
    return this.options.prefix;
  }

  /** Runs until {@link stop}. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const pause = this.isListed ? await this.watchOnce() : await this.listOnce();
      if (pause > 0) await sleep(pause);
    }
  }

  stop(): void {
    this.isStopped = true;
    this.watchAbort.abort();
  }

  /**
   * Aborts a pending watch and starts another. Called when the store answers again, because a watch
   * sent before an outage may never be answered.
   */
  restart(): void {
    this.watchAbort.abort();
  }

  private async listOnce(): Promise<Milliseconds> {
    const outcome = await this.options.store.range(this.options.prefix);
    if (outcome.kind === 'failed') return this.recordFailure();
    this.recordAnswer();
    this.isListed = true;
    this.relistAt = this.hadLoss ? performance.now() + this.options.relistDelay : undefined;
    this.hadLoss = false;
    this.revision = outcome.revision;
    const changes = this.differences(outcome.items, outcome.revision);
    this.updates.next({ changes, listed: true });
    return 0;
  }

  private async watchOnce(): Promise<Milliseconds> {
    const { store, prefix, coalesce } = this.options;
    this.watchAbort = new AbortController();
    const { signal } = this.watchAbort;
    const outcome = await store.watch(prefix, this.revision, this.nextWait(), signal);
    if (signal.aborted) return 0;
    if (outcome.kind === 'failed') return this.recordFailure();
    this.recordAnswer();
    if (outcome.kind === 'compacted') {
      this.relistAfterLoss();
      return 0;
    }
    if (this.timeUntilRelist() <= 0) this.isListed = false;
    this.revision = Math.max(this.revision, outcome.revision);
    const changes = outcome.changes.filter((change) => this.recordIfNew(change));
    if (changes.length === 0) return 0;
    this.updates.next({ changes, listed: false });
    return coalesce;
  }

  private nextWait(): Milliseconds {
    return Math.max(1, Math.min(this.options.wait, Math.ceil(this.timeUntilRelist())));
  }

  private timeUntilRelist(): Milliseconds {
    return (this.relistAt ?? Number.POSITIVE_INFINITY) - performance.now();
  }

  private relistAfterLoss(): void {
    this.isListed = false;
    this.hadLoss = true;
  }

  /** Records a change of a watch; returns false if it is known. */
  private recordIfNew({ key, value, revision }: StoreChange): boolean {
    const knownRevision = this.knownRevisions.get(key) ?? this.removals.get(key)?.asOf ?? 0;
    if (revision <= knownRevision) return false;
    if (value === undefined) this.recordRemoval(key, { asOf: revision, itemsUpTo: revision });
    else this.recordItem(key, revision);
    return true;
  }

  /** Records an item of a list; returns false if it is known, or was removed after the list. */
  private recordIfListedAnew({ key, revision }: StoreItem, listRevision: Revision): boolean {
    const { asOf = 0, itemsUpTo = 0 } = this.removals.get(key) ?? {};
    const isRemoved = revision <= itemsUpTo || (listRevision < asOf && revision <= asOf);
    if (isRemoved || revision <= (this.knownRevisions.get(key) ?? 0)) return false;
    this.recordItem(key, revision);
    return true;
  }

  private recordItem(key: string, revision: Revision): void {
    this.knownRevisions.set(key, revision);
    this.removals.delete(key);
  }

  private recordRemoval(key: string, removal: Omit<Removal, 'learnedAt'>): void {
    this.knownRevisions.delete(key);
    this.removals.set(key, { ...removal, learnedAt: performance.now() });
  }

  private differences(items: readonly StoreItem[], listRevision: Revision): StoreChange[] {
    const listedKeys = new Set(items.map((item) => item.key));
    const removals = [...this.knownRevisions]
      .filter(([key, revision]) => !listedKeys.has(key) && revision <= listRevision)
      .map(([key]) => ({ key, value: undefined, revision: listRevision }));
    for (const { key } of removals) this.recordRemoval(key, { asOf: listRevision, itemsUpTo: 0 });
    const updates = items.filter((item) => this.recordIfListedAnew(item, listRevision));
    this.forgetRemovals(listRevision);
    return [...removals, ...updates];
  }

  /** Forgets the removals that a list contains, once no list from before them can arrive. */
  private forgetRemovals(listRevision: Revision): void {
    const learnedBefore = performance.now() - MAX_LIST_DELAY;
    for (const [key, { asOf, learnedAt }] of this.removals) {
      if (asOf <= listRevision && learnedAt < learnedBefore) this.removals.delete(key);
    }
  }

  private recordFailure(): Milliseconds {
    if (!this.isDisconnected) this.health.next('lost');
    this.isDisconnected = true;
    this.relistAfterLoss();
    const { retryPause, maxRetryPause } = this.options;
    const pause = Math.min(retryPause * 2 ** this.failures, maxRetryPause);
    this.failures += 1;
    return pause * (1 - JITTER_SHARE * Math.random());
  }

  private recordAnswer(): void {
    if (this.isDisconnected) this.health.next('regained');
    this.isDisconnected = false;
    this.failures = 0;
  }
}
