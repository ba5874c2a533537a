/**
 * One attempt to make a job durable: in the shared store and, while that does not answer, in the
 * zone's journal. The store's commit also changes the trainer's record; the journal's acceptance
 * counts only once the replicas have confirmed the zone's right to it.
 */

import type { AppendOutcome, JobJournal } from '../journal/job-journal.js';
import type { JournalEntry } from '../journal/journal-entries.js';
import type { Clock } from '../serving/clock.js';
import type { JobSpecification } from './job-records.js';
import type { CreationOutcome, HeadFields, JobStore, StillNeeded } from './job-store.js';
import { JOURNAL_RETRY_DELAY } from './listing-writer.js';
import type { AcceptanceRight, TrainerHomes } from './trainer-homes.js';

export interface JobCreationOptions {
  readonly store: JobStore;
  readonly homes: TrainerHomes | undefined;
  readonly clock: Pick<Clock, 'sleep'>;
  readonly spec: JobSpecification;
  readonly right: AcceptanceRight | undefined;
  /** Whether the job was submitted in a region that may not store it. */
  readonly isFromOutside: boolean;
  readonly isStillNeeded: StillNeeded;
}

export class JobCreation {
  /** Whether the journal has accepted the job, so that the store must receive it. */
  private isJournaled = false;
  /** Whether the store has settled the creation, so that the journal may not accept it any more. */
  private isSettled = false;
  /** The entry, if it may be on some replicas. */
  private writtenEntry: JournalEntry | undefined;

  constructor(private readonly options: JobCreationOptions) {}

  /**
   * Creates the job in the store. Once the journal has accepted it, it is stored whichever zone the
   * trainer's record names.
   */
  async createInStore(head: HeadFields): Promise<CreationOutcome> {
    const { store, homes, spec, right, isFromOutside, isStillNeeded } = this.options;
    const isNeeded = (): boolean => this.isJournaled || isStillNeeded();
    let trainer = right === undefined ? undefined : homes?.changeFor(right, spec, isFromOutside);
    for (;;) {
      const outcome = await store.create(spec, head, isNeeded, trainer);
      if (trainer !== undefined) homes?.noteCreation(trainer, outcome);
      if (outcome.kind !== 'trainer-changed' || !this.isJournaled) {
        this.isSettled = true;
        return outcome;
      }
      trainer = await homes?.changeForJournaled(spec);
    }
  }

  /**
   * Writes the job to the journal until that accepts it or the store settles the creation; returns
   * whether the journal has accepted it.
   */
  async acceptByJournal(journal: JobJournal): Promise<boolean> {
    const { clock, spec, right, isStillNeeded } = this.options;
    const trainerTerm = right?.record.term;
    const entry: JournalEntry = {
      ...{ kind: 'created', spec, replicas: [...journal.replicas] },
      ...(trainerTerm === undefined ? {} : { trainerTerm }),
    };
    this.writtenEntry = entry;
    while (!this.isSettled && isStillNeeded()) {
      const outcome = await this.writeAndConfirm(entry, journal);
      if (outcome === 'lost') return false;
      if (outcome === 'kept' && !this.isSettled) {
        this.isJournaled = true;
        return true;
      }
      if (outcome !== 'kept') await clock.sleep(JOURNAL_RETRY_DELAY);
    }
    return false;
  }

  /** Removes the entry from the replicas after the store has the job. */
  async releaseEntry(journal: JobJournal | undefined): Promise<void> {
    if (this.writtenEntry !== undefined) await journal?.release([this.writtenEntry]);
  }

  /**
   * Writes the entry, and then confirms that no other zone has fenced the right to accept the job. A
   * zone that fences it later finds the entry.
   */
  private async writeAndConfirm(entry: JournalEntry, journal: JobJournal): Promise<AppendOutcome> {
    const { homes, right } = this.options;
    const outcome = await journal.append([entry]);
    if (outcome !== 'kept' || homes === undefined || right === undefined) return outcome;
    return homes.confirm(right);
  }
}
