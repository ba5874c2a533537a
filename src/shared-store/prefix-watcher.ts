/**
 * Follows a prefix of the shared store: lists it once, then watches from the list's revision on.
 * After lost history or a failed call it lists again and reports the difference, so that followers
 * see a change that no watch told; and once more a moment later, as a watch that begins while the
 * store recovers may not hear what changes meanwhile.
 *
 * A list may come from a node that is some changes behind: what is known to be newer than the list
 * stays. Failed calls are repeated after pauses that double, with jitter, so that the end of an
 * outage does not bring all nodes to the store at once.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Subject } from 'rxjs';
import type { Milliseconds, Revision } from '../core/units.js';
import type { SharedStore, StoreChange, StoreItem } from './shared-store.js';

/** Options of {@link PrefixWatcher}. */
export interface PrefixWatcherOptions {
  readonly store: SharedStore;
  readonly prefix: string;
  /** Longest wait of one watch call. @default 25,000 ms */
  readonly wait?: Milliseconds;
  /**
   * Pause between an answer and the next watch: changes that come close together then cost one
   * call. @default 100 ms
   */
  readonly coalesce?: Milliseconds;
  /** Pause after the first failed call; it doubles with each further one. @default 250 ms */
  readonly retryPause?: Milliseconds;
  /** Longest pause after a failed call. @default 1,000 ms */
  readonly longestRetryPause?: Milliseconds;
  /** Time after a list that followed a loss, when it is made once more. @default 1,000 ms */
  readonly confirmationDelay?: Milliseconds;
}

const DEFAULTS = {
  wait: 25_000,
  coalesce: 100,
  retryPause: 250,
  longestRetryPause: 1_000,
  confirmationDelay: 1_000,
} as const;

/** Share of a pause that is drawn at random, so that nodes do not repeat their calls together. */
const JITTER_SHARE = 0.3;

/** What a watcher reports: a batch of changes, and whether it came from a full list. */
export interface PrefixUpdate {
  readonly changes: readonly StoreChange[];
  readonly listed: boolean;
}

/** Whether a watcher hears from the store. */
export type WatchHealth = 'lost' | 'regained';

/** Follows one prefix until stopped. */
export class PrefixWatcher {
  /** All changes, in order. */
  readonly updates = new Subject<PrefixUpdate>();
  /** Losses of the store, and its return. */
  readonly health = new Subject<WatchHealth>();
  private readonly options: Required<PrefixWatcherOptions>;
  private isStopped = false;
  private call = new AbortController();
  private readonly known = new Map<string, Revision>();
  /** Keys that are gone, by the revision of their removal: an older list may still show them. */
  private readonly removed = new Map<string, Revision>();
  private failures = 0;
  private revision: Revision = 0;
  private isLost = false;
  private isListed = false;
  /** Whether something was lost since the last list. */
  private hasLost = false;
  /** Steady time at which the prefix is listed once more. */
  private confirmAt: Milliseconds | undefined;

  constructor(options: PrefixWatcherOptions) {
    this.options = { ...DEFAULTS, ...options };
  }

  /** What it follows. */
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

  /** Ends the watch. */
  stop(): void {
    this.isStopped = true;
    this.call.abort();
  }

  /**
   * Gives a waiting call up and asks anew. A call that was sent before the store fell silent may
   * wait for an answer that never comes; whoever hears from the store again says so here.
   */
  restart(): void {
    this.call.abort();
  }

  private async listOnce(): Promise<Milliseconds> {
    const outcome = await this.options.store.range(this.options.prefix);
    if (outcome.kind === 'failed') return this.noteLost();
    this.noteHeard();
    this.isListed = true;
    this.confirmAt = this.hasLost ? performance.now() + this.options.confirmationDelay : undefined;
    this.hasLost = false;
    this.revision = outcome.revision;
    const changes = this.differences(outcome.items, outcome.revision);
    this.updates.next({ changes, listed: true });
    return 0;
  }

  private async watchOnce(): Promise<Milliseconds> {
    const { store, prefix, coalesce } = this.options;
    this.call = new AbortController();
    const { signal } = this.call;
    const outcome = await store.watch(prefix, this.revision, this.nextWait(), signal);
    if (signal.aborted) return 0;
    if (outcome.kind === 'failed') return this.noteLost();
    this.noteHeard();
    if (outcome.kind === 'compacted') {
      this.listAfterLoss();
      return 0;
    }
    if (this.timeToConfirm() <= 0) this.isListed = false;
    this.revision = Math.max(this.revision, outcome.revision);
    const changes = outcome.changes.filter((change) => this.isNew(change));
    if (changes.length === 0) return 0;
    this.updates.next({ changes, listed: false });
    return coalesce;
  }

  private nextWait(): Milliseconds {
    return Math.max(1, Math.min(this.options.wait, Math.ceil(this.timeToConfirm())));
  }

  private timeToConfirm(): Milliseconds {
    return (this.confirmAt ?? Number.POSITIVE_INFINITY) - performance.now();
  }

  private listAfterLoss(): void {
    this.isListed = false;
    this.hasLost = true;
  }

  private isNew(change: StoreChange): boolean {
    const { key, value, revision } = change;
    if (revision <= (this.known.get(key) ?? this.removed.get(key) ?? 0)) return false;
    if (value === undefined) {
      this.known.delete(key);
      this.removed.set(key, revision);
    } else {
      this.known.set(key, revision);
      this.removed.delete(key);
    }
    return true;
  }

  private differences(items: readonly StoreItem[], listRevision: Revision): StoreChange[] {
    const present = new Set(items.map((item) => item.key));
    const gone = [...this.known]
      .filter(([key, revision]) => !present.has(key) && revision <= listRevision)
      .map(([key]) => ({ key, value: undefined, revision: listRevision }));
    for (const { key } of gone) this.known.delete(key);
    const fresh = items.filter((item) => this.isNew(item));
    for (const [key, revision] of this.removed) {
      if (revision <= listRevision) this.removed.delete(key);
    }
    return [...gone, ...fresh];
  }

  private noteLost(): Milliseconds {
    if (!this.isLost) this.health.next('lost');
    this.isLost = true;
    this.listAfterLoss();
    const { retryPause, longestRetryPause } = this.options;
    const pause = Math.min(retryPause * 2 ** this.failures, longestRetryPause);
    this.failures += 1;
    return pause * (1 - JITTER_SHARE * Math.random());
  }

  private noteHeard(): void {
    if (this.isLost) this.health.next('regained');
    this.isLost = false;
    this.failures = 0;
  }
}
