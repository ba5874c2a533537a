/**
 * Writes what changes of a job (pages of results, and its end) in order: to the shared store, and
 * while that does not answer also to the zone's journal. A change holds once either has it, and is
 * the same in both, so what was told by the journal is what the store will tell.
 *
 * A commit that the store does not answer is repeated until it is settled, whoever waits for it;
 * further changes queue behind it and go together in the next one.
 */

import type { Milliseconds } from '../core/units.js';
import type { JobJournal } from '../journal/job-journal.js';
import type { JournalEntry } from '../journal/journal-entries.js';
import type { Clock } from '../serving/clock.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { JobResult, StoredProgress } from './job-records.js';
import type { HeadChange, JobStore, VersionedHead } from './job-store.js';

/** One change of a job. */
export type ListingChange = Exclude<JournalEntry, { kind: 'created' }>;

/**
 * Time after which the journal is written to beside the store: an answer of the store takes some
 * milliseconds on a calm day, and the zone's disks are not to be troubled then.
 */
export const JOURNAL_DELAY: Milliseconds = 150;

/** Pause before replicas that did not all keep a change are asked again. */
export const JOURNAL_RETRY_PAUSE: Milliseconds = 150;

/** Pages that one commit holds at most: four of 400 KB are within what a store takes. */
const MOST_PAGES_A_COMMIT = 4;

/** Options of {@link ListingWriter}. */
export interface ListingWriterOptions {
  readonly job: string;
  readonly store: JobStore;
  readonly clock: Pick<Clock, 'sleep'>;
  /** The zone's journal of the job; `undefined` where it has none. */
  readonly journal: JobJournal | undefined;
  readonly metrics: FleetMetrics;
  /** What was made of unfinished items, kept with each commit. */
  readonly progress: () => StoredProgress;
  /** Whether commits are still to be repeated that only the store would keep. */
  readonly isWanted: () => boolean;
  /** Whether a change by another node leaves this one the owner of all that is listed. */
  readonly isOwnChange: (change: HeadChange) => boolean;
  /** The head has changed in the store, by this node or another. */
  readonly noteHead: (change: HeadChange) => void;
}

/** A change on its way. */
interface QueuedChange {
  readonly change: ListingChange;
  /** Whether the journal has it, so that the store must get it. */
  isJournaled: boolean;
  /** Whether either has it, or neither ever will. */
  isSettled: boolean;
  readonly settle: (holds: boolean) => void;
}

/** Writes the changes of one job. */
export class ListingWriter {
  private readonly queue: QueuedChange[] = [];
  private isFlushing = false;
  private isEnded = false;

  /** `head` is undefined while the store has not taken the job. */
  constructor(
    private readonly options: ListingWriterOptions,
    private current: VersionedHead | undefined,
  ) {}

  /** The head as this node last saw it in the store. */
  get head(): VersionedHead | undefined {
    return this.current;
  }

  /** Whether changes are on their way to the store. */
  get isBusy(): boolean {
    return this.queue.length > 0;
  }

  /** Pages, with those that only the journal has yet. */
  get pages(): number {
    const queued = this.queue.filter(({ change }) => change.kind === 'page').length;
    return (this.current?.head.pages ?? 0) + queued;
  }

  /** The store has the job, or another node changed its head. */
  take(head: VersionedHead): void {
    this.current = head;
    void this.flush();
  }

  /** Changes that the journal kept for an earlier owner and the store lacks. */
  resume(changes: readonly ListingChange[]): void {
    for (const change of changes) {
      this.queue.push({ change, isJournaled: true, isSettled: true, settle: () => {} });
    }
    void this.flush();
  }

  /** Lists results behind all others; resolves with whether that holds. */
  list(results: readonly JobResult[]): Promise<boolean> {
    return this.write({ kind: 'page', number: this.pages, results: [...results] });
  }

  /** Ends the job; resolves with whether that holds. */
  end(): Promise<boolean> {
    return this.write({ kind: 'ended' });
  }

  /** Whether the zone's journal shows that no other node runs the job. */
  async isConfirmedByJournal(): Promise<boolean> {
    return (await this.options.journal?.append([])) === 'kept';
  }

  private write(change: ListingChange): Promise<boolean> {
    return new Promise((resolve) => {
      const queued: QueuedChange = {
        change,
        isJournaled: false,
        isSettled: false,
        settle: (holds) => {
          if (queued.isSettled) return;
          queued.isSettled = true;
          resolve(holds);
        },
      };
      this.queue.push(queued);
      void this.flush();
      void this.journalWhileSilent(queued);
    });
  }

  /** Keeps a change in the journal if the store has not taken it after a while. */
  private async journalWhileSilent(queued: QueuedChange): Promise<void> {
    const { journal, clock, metrics } = this.options;
    if (journal === undefined) return;
    await clock.sleep(JOURNAL_DELAY);
    while (!queued.isSettled && !this.isEnded) {
      const outcome = await journal.append([queued.change]);
      if (outcome === 'lost') return;
      if (outcome === 'kept' && queued.isSettled) {
        // The store was quicker after all.
        void journal.release([queued.change]);
        return;
      }
      if (outcome === 'kept') {
        queued.isJournaled = true;
        metrics.count('journaled_changes', { change: queued.change.kind });
        queued.settle(true);
        return;
      }
      await clock.sleep(JOURNAL_RETRY_PAUSE);
    }
  }

  /** Commits what is queued, as long as the store takes it. */
  private async flush(): Promise<void> {
    if (this.isFlushing) return;
    this.isFlushing = true;
    while (this.queue.length > 0 && this.current !== undefined && !this.isEnded) {
      const batch = this.nextBatch();
      const base = this.current;
      const change = await this.options.store.extend(
        this.options.job,
        base,
        extensionOf(batch.map((queued) => queued.change)),
        this.options.progress(),
        () => this.options.isWanted() || batch.some(({ isJournaled }) => isJournaled),
      );
      this.takeOutcome(batch, change);
    }
    this.isFlushing = false;
  }

  private nextBatch(): QueuedChange[] {
    let pages = 0;
    const batch: QueuedChange[] = [];
    for (const queued of this.queue) {
      if (queued.change.kind === 'page') pages += 1;
      if (pages > MOST_PAGES_A_COMMIT) break;
      batch.push(queued);
    }
    return batch;
  }

  private takeOutcome(batch: readonly QueuedChange[], change: HeadChange): void {
    if (change.kind === 'changed') {
      this.current = change.current;
      this.queue.splice(0, batch.length);
      const journaled = batch.filter(({ isJournaled }) => isJournaled);
      void this.options.journal?.release(journaled.map((queued) => queued.change));
      this.options.noteHead(change);
      for (const queued of batch) queued.settle(true);
      return;
    }
    const isOwn = this.options.isOwnChange(change);
    this.options.noteHead(change);
    if (change.kind === 'superseded' && change.current !== undefined) this.current = change.current;
    // Another node may have ended the job meanwhile; what was told of it follows all the same.
    const told = isOwn ? this.queue.filter(({ isJournaled }) => isJournaled) : [];
    for (const queued of this.queue.splice(0, this.queue.length, ...told)) {
      if (!queued.isJournaled) queued.settle(false);
    }
    this.isEnded = !isOwn;
  }
}

/** What some changes add to a job in the store. */
function extensionOf(changes: readonly ListingChange[]): {
  readonly pages: readonly (readonly JobResult[])[];
  readonly ended: boolean;
} {
  const pages = changes.flatMap((change) => (change.kind === 'page' ? [change.results] : []));
  return { pages, ended: changes.some(({ kind }) => kind === 'ended') };
}
