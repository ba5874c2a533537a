/**
 * Writes the changes of a job (result pages and cancellation) in order: to the shared store and,
 * while that does not answer, also to the zone's journal. A change is durable once either has it,
 * and is identical in both.
 *
 * A commit that the store does not answer is retried until it is settled; later changes queue
 * behind it and are batched into the next commit.
 */

import type { Milliseconds } from '../core/units.js';
import type { JobJournal } from '../journal/job-journal.js';
import type { JournalEntry } from '../journal/journal-entries.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { JobResult, StoredProgress } from './job-records.js';
import type { HeadChange, JobStore, VersionedHead } from './job-store.js';
import type { ListingLog, PositionedChange } from './listing-log.js';

/** A result page, or the cancellation of the job. */
export type ListingChange = Exclude<JournalEntry, { kind: 'created' }>;

/**
 * Time without an answer of the store after which the journal is written too. The store usually
 * answers within milliseconds, so that the zone's disks are not used.
 */
export const JOURNAL_DELAY: Milliseconds = 150;

/** Delay before a change that not enough replicas stored is written to them again. */
export const JOURNAL_RETRY_DELAY: Milliseconds = 150;

/** Maximum pages in one commit; four pages of 400 KB are below the store's request limit. */
export const MAX_PAGES_PER_COMMIT = 4;

export interface ListingWriterOptions {
  readonly job: string;
  readonly store: JobStore;
  readonly clock: Pick<Clock, 'now' | 'suspendedTime' | 'sleep'>;
  /** The zone's journal of the job; `undefined` if there is none. */
  readonly journal: JobJournal | undefined;
  readonly log: ListingLog;
  /** Progress of unfinished items, stored with each commit. */
  readonly progress: () => StoredProgress;
  /** Whether to keep retrying commits whose changes are not journaled. */
  readonly isStillNeeded: () => boolean;
  /**
   * Whether this node is still the owner after another node's change, with all the pages of its head
   * and `addedPages` more.
   */
  readonly keepsOwnership: (change: HeadChange, addedPages?: number) => boolean;
  /**
   * Called when this node or another has changed the head in the store, with the time by
   * {@link suspendAwareTime} at which this node's change was sent.
   */
  readonly onHeadChange: (change: HeadChange, sentAt: Milliseconds) => void;
}

/** A change that the store does not have yet. */
interface QueuedChange extends PositionedChange {
  readonly queuedAt: Milliseconds;
  /** Whether the journal has the change, so that the store must receive it. */
  isJournaled: boolean;
  /** Whether replicas of the journal may have the change, as an append was sent to them. */
  wasAppended: boolean;
  /** Whether the store has the change. */
  isStored: boolean;
  /** Whether the outcome is known: durable in the journal or the store, or dropped. */
  isSettled: boolean;
  readonly settle: (isDurable: boolean) => void;
}

/** Writes the changes of one job. */
export class ListingWriter {
  private readonly queue: QueuedChange[] = [];
  private isFlushing = false;
  private isSuperseded = false;

  /** `current` is undefined until the store has the job. */
  constructor(
    private readonly options: ListingWriterOptions,
    private current: VersionedHead | undefined,
  ) {}

  /** The head as this node last read or wrote it in the store. */
  get head(): VersionedHead | undefined {
    return this.current;
  }

  /** Whether changes are queued for the store. */
  get isPending(): boolean {
    return this.queue.length > 0;
  }

  /** Whether a cancellation of this owner waits for the store. */
  get isCancelling(): boolean {
    return this.queue.some(({ change }) => change.kind === 'ended');
  }

  /** Whether a replica of the journal may have a page whose outcome is not known. */
  get hasUncertainPages(): boolean {
    if (this.options.journal === undefined) return false;
    return this.queue.some(({ change, isJournaled }) => change.kind === 'page' && !isJournaled);
  }

  /** Number of pages, including queued ones. */
  get pages(): number {
    const queued = this.queue.filter(({ change }) => change.kind === 'page').length;
    return (this.current?.head.pages ?? 0) + queued;
  }

  /** Sets the head after the store has accepted the job or another node has changed it. */
  setHead(head: VersionedHead): void {
    this.current = head;
    void this.flush();
  }

  /**
   * Queues changes that an earlier owner journaled and the store lacks; `nextPosition` is the
   * position of their first result.
   */
  resume(changes: readonly ListingChange[], nextPosition: number): void {
    const { clock, log } = this.options;
    let first = nextPosition;
    for (const change of changes) {
      const queued = { change, first, queuedAt: clock.now() };
      const state = { isJournaled: true, wasAppended: true, isStored: false, isSettled: true };
      this.queue.push({ ...queued, ...state, settle: () => {} });
      log.noteResumed(queued);
      if (change.kind === 'page') first += change.results.length;
    }
    void this.flush();
  }

  /**
   * Lists a page of results after all others, from position `first` on; resolves with whether it is
   * durable.
   */
  list(results: readonly JobResult[], first: number): Promise<boolean> {
    return this.write({ kind: 'page', number: this.pages, results: [...results] }, first);
  }

  /** Cancels the job; resolves with whether the cancellation is durable. */
  cancel(): Promise<boolean> {
    return this.write({ kind: 'ended' }, 0);
  }

  /** Whether the zone's journal confirms that no other node has claimed the job. */
  async isConfirmedByJournal(): Promise<boolean> {
    return (await this.options.journal?.append([])) === 'kept';
  }

  private write(change: ListingChange, first: number): Promise<boolean> {
    return new Promise((resolve) => {
      const queued: QueuedChange = {
        ...{ change, first, queuedAt: this.options.clock.now() },
        ...{ isJournaled: false, wasAppended: false, isStored: false, isSettled: false },
        settle: (isDurable) => {
          if (queued.isSettled) return;
          queued.isSettled = true;
          resolve(isDurable);
        },
      };
      this.queue.push(queued);
      void this.flush();
      void this.journalIfDelayed(queued);
    });
  }

  /** Writes a change to the journal if the store has not accepted it after a delay. */
  private async journalIfDelayed(queued: QueuedChange): Promise<void> {
    const { journal, clock, log } = this.options;
    if (journal === undefined) return;
    await clock.sleep(JOURNAL_DELAY);
    while (!queued.isSettled && !this.isSuperseded) {
      queued.wasAppended = true;
      const outcome = await journal.append([queued.change]);
      if (outcome === 'lost') return;
      if (queued.isStored) {
        // The append may have reached replicas after the entry was released there.
        void journal.release([queued.change]);
        return;
      }
      if (outcome === 'kept') {
        queued.isJournaled = true;
        log.noteDurable(queued, 'journal', this.ageOf(queued));
        queued.settle(true);
        return;
      }
      await clock.sleep(JOURNAL_RETRY_DELAY);
    }
  }

  /** Commits queued changes in batches until the queue is empty or the job is lost. */
  private async flush(): Promise<void> {
    if (this.isFlushing) return;
    this.isFlushing = true;
    while (this.queue.length > 0 && this.current !== undefined && !this.isSuperseded) {
      const batch = this.nextBatch();
      const base = this.current;
      const sentAt = suspendAwareTime(this.options.clock);
      const change = await this.options.store.extend(
        this.options.job,
        base,
        extensionOf(batch.map((queued) => queued.change)),
        this.options.progress(),
        () => this.options.isStillNeeded() || batch.some(({ isJournaled }) => isJournaled),
      );
      this.handleOutcome(batch, change, sentAt);
    }
    this.isFlushing = false;
  }

  private nextBatch(): QueuedChange[] {
    let pages = 0;
    const batch: QueuedChange[] = [];
    for (const queued of this.queue) {
      if (queued.change.kind === 'page') pages += 1;
      if (pages > MAX_PAGES_PER_COMMIT) break;
      batch.push(queued);
    }
    return batch;
  }

  private handleOutcome(
    batch: readonly QueuedChange[],
    change: HeadChange,
    sentAt: Milliseconds,
  ): void {
    const stored = this.headWith(batch, change);
    if (stored !== undefined) {
      this.current = stored;
      this.queue.splice(0, batch.length);
      this.logStored(batch);
      for (const queued of batch) queued.isStored = true;
      const appended = batch.filter(({ wasAppended }) => wasAppended);
      void this.options.journal?.release(appended.map((queued) => queued.change));
      this.options.onHeadChange(change, sentAt);
      for (const queued of batch) queued.settle(true);
      return;
    }
    const isStillOwner = this.options.keepsOwnership(change);
    this.options.onHeadChange(change, sentAt);
    if (change.kind === 'superseded' && change.current !== undefined) this.current = change.current;
    // Even if another node has cancelled the job, journaled results must reach the store.
    const remaining = isStillOwner ? this.queue.filter(({ isJournaled }) => isJournaled) : [];
    for (const queued of this.queue.splice(0, this.queue.length, ...remaining)) {
      if (!queued.isJournaled) queued.settle(false);
    }
    this.isSuperseded = !isStillOwner;
  }

  /**
   * The head if the store has a batch. A commit without an answer may have been carried out before
   * another node changed the head: only this owner adds pages under its term.
   */
  private headWith(batch: readonly QueuedChange[], change: HeadChange): VersionedHead | undefined {
    if (change.kind === 'changed') return change.current;
    const pages = batch.filter((queued) => queued.change.kind === 'page').length;
    if (change.kind !== 'superseded' || pages === 0) return undefined;
    return this.options.keepsOwnership(change, pages) ? change.current : undefined;
  }

  private logStored(batch: readonly QueuedChange[]): void {
    const { log } = this.options;
    for (const queued of batch) {
      if (queued.isJournaled) log.noteStored(queued, this.ageOf(queued));
      else log.noteDurable(queued, 'store', this.ageOf(queued));
    }
  }

  private ageOf(queued: QueuedChange): Milliseconds {
    return this.options.clock.now() - queued.queuedAt;
  }
}

/** Combines changes into one extension of the job. */
export function extensionOf(changes: readonly ListingChange[]): {
  readonly pages: readonly (readonly JobResult[])[];
  readonly ended: boolean;
} {
  const pages = changes.flatMap((change) => (change.kind === 'page' ? [change.results] : []));
  return { pages, ended: changes.some(({ kind }) => kind === 'ended') };
}
