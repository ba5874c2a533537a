/**
 * Makes the journaled changes that a new owner found durable before it shows them. An append that
 * ended without an outcome may have left a change on one replica, and a disk lost after readers have
 * seen the change would take it away.
 */
import type { JournalEntry } from '../journal/journal-entries.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { isFinished, type JobOwner, type JobResult } from './job-records.js';
import type { JobStore, StillNeeded, VersionedHead } from './job-store.js';
import type { ClaimedJournal } from './journal-claims.js';
import { extensionOf, type ListingChange, MAX_PAGES_PER_COMMIT } from './listing-writer.js';

export interface JournalWriteBackOptions {
  readonly store: JobStore;
  readonly log: DecisionLog;
  readonly self: JobOwner;
}

/** A job whose journaled changes are durable. */
export interface DurableListing {
  readonly head: VersionedHead;
  /** Results that were committed to the store, in the order of their positions. */
  readonly stored: readonly JobResult[];
  /** Changes that all replicas hold and the store still lacks. */
  readonly journaled: readonly ListingChange[];
}

/** Writes the changes that an earlier owner left in the journal back to it, or to the store. */
export class JournalWriteBack {
  constructor(private readonly options: JournalWriteBackOptions) {}

  /**
   * Writes the changes that the store lacks to all replicas or, if one of them does not store them,
   * to the store; `undefined` if another node became the owner meanwhile. Removes the entries that
   * the store has, and all of a finished job.
   */
  async makeDurable(
    claimed: ClaimedJournal | undefined,
    head: VersionedHead,
  ): Promise<DurableListing | undefined> {
    if (claimed === undefined) return { head, stored: [], journaled: [] };
    const { journal, entries } = claimed;
    const { job, term } = journal;
    const { pages } = head.head;
    // Their keys are not written again, so a late removal takes nothing else away.
    void journal.release(entries.filter((entry) => isStored(entry, pages)));
    const changes = listableChanges(this.options.log, job, entries, pages);
    if (changes.length === 0) return { head, stored: [], journaled: [] };
    const append = await journal.append(changes);
    const details = { job, term, entries: changes.length, outcome: append };
    this.options.log.state('journal-written-back', details);
    if (append === 'kept') return { head, stored: [], journaled: changes };
    const current = await this.commit(job, head, changes, () => true);
    if (current === undefined) return undefined;
    await journal.release(isFinished(current.head) ? entries : changes);
    return { head: current, stored: extensionOf(changes).pages.flat(), journaled: [] };
  }

  /** Commits changes to the store in order; `undefined` if not all of them were committed. */
  async commit(
    job: string,
    head: VersionedHead,
    changes: readonly ListingChange[],
    isStillNeeded: StillNeeded,
  ): Promise<VersionedHead | undefined> {
    let current = head;
    for (let done = 0; done < changes.length; ) {
      const batch = changes.slice(done, done + MAX_PAGES_PER_COMMIT);
      const extension = extensionOf(batch);
      const change = await this.options.store.extend(
        job,
        current,
        extension,
        undefined,
        isStillNeeded,
      );
      if (change.kind === 'changed') {
        done += batch.length;
        current = change.current;
      } else if (change.kind === 'superseded' && this.isSameListing(current, change.current)) {
        current = change.current;
      } else {
        const { kind: outcome } = change;
        const missing = changes.length - done;
        this.options.log.state('journaled-changes-not-stored', {
          job,
          outcome,
          stored: done,
          missing,
        });
        return undefined;
      }
    }
    return current;
  }

  /** Whether a head that another node changed, to cancel the job, still has this owner and pages. */
  private isSameListing(
    known: VersionedHead,
    current: VersionedHead | undefined,
  ): current is VersionedHead {
    if (current === undefined) return false;
    const { owner, pages } = current.head;
    const { self } = this.options;
    const isOwn = owner?.node === self.node && owner.incarnation === self.incarnation;
    return isOwn && pages === known.head.pages;
  }
}

/** Whether an entry is in the store, which has the job and `pages` pages of it. */
function isStored(entry: JournalEntry, pages: number): boolean {
  return entry.kind === 'created' || (entry.kind === 'page' && entry.number < pages);
}

/** Journaled changes, divided by whether their positions are certain. */
export interface UnstoredChanges {
  /** Changes that follow on from the pages in the store, in listing order. */
  readonly changes: readonly ListingChange[];
  /** Numbers of the pages after a missing one, whose results have no known positions. */
  readonly pagesAfterGap: readonly number[];
}

/** Selects the changes that the store, which has `pages` pages, lacks. */
export function changesAfter(entries: readonly JournalEntry[], pages: number): UnstoredChanges {
  const changes: ListingChange[] = [];
  const pagesAfterGap: number[] = [];
  const newPages = entries
    .flatMap((entry) => (entry.kind === 'page' && entry.number >= pages ? [entry] : []))
    .sort((a, b) => a.number - b.number);
  for (const page of newPages) {
    if (page.number === pages + changes.length) changes.push(page);
    else pagesAfterGap.push(page.number);
  }
  const cancellation = entries.filter((entry) => entry.kind === 'ended');
  return { changes: [...changes, ...cancellation], pagesAfterGap };
}

/** Like {@link changesAfter}; logs the pages after a gap, which are not listed. */
export function listableChanges(
  log: DecisionLog,
  job: string,
  entries: readonly JournalEntry[],
  pages: number,
): readonly ListingChange[] {
  const { changes, pagesAfterGap } = changesAfter(entries, pages);
  if (pagesAfterGap.length > 0) {
    const missing = pages + changes.filter(({ kind }) => kind === 'page').length;
    const dropped = pagesAfterGap.join();
    log.state('journaled-pages-dropped', { job, stored: pages, missing, dropped });
  }
  return changes;
}
