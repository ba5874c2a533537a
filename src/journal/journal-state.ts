/**
 * In-memory state of one journal replica. A holder writes under a term; the replica rejects a holder
 * with a lower term, and another writer under the same term. Since a holder writes to all replicas of
 * its job, one replica that has accepted a later holder stops the earlier one.
 */
import type { Milliseconds } from '../core/units.js';
import {
  isReleaseOf,
  type JournalEntry,
  type JournalHolder,
  keyOfEntry,
  TRAINER_KEY_PREFIX,
} from './journal-entries.js';

/** A change of the state, as stored on disk. */
export type JournalChange =
  | {
      readonly kind: 'held';
      readonly holder: JournalHolder;
      readonly entries: readonly JournalEntry[];
      /** Time of day; entries are removed by its age. */
      readonly at: Milliseconds;
    }
  | {
      readonly kind: 'released';
      readonly holder: JournalHolder;
      readonly keys: readonly string[];
      readonly at: Milliseconds;
    };

interface JobState {
  holder: JournalHolder;
  changedAt: Milliseconds;
  readonly entries: Map<string, JournalEntry>;
}

/** Holders and entries of the jobs on one replica. */
export class JournalState {
  private readonly jobs = new Map<string, JobState>();

  /** The holder that prevents another from writing; `undefined` if that one may write. */
  conflictingHolder(holder: JournalHolder): JournalHolder | undefined {
    const currentHolder = this.jobs.get(holder.job)?.holder;
    if (currentHolder === undefined || holder.term > currentHolder.term) return undefined;
    if (isReleaseOf(holder, currentHolder)) return undefined;
    return holder.term === currentHolder.term && holder.writer === currentHolder.writer
      ? undefined
      : currentHolder;
  }

  /** Whether this holder is already recorded as the holder of its job. */
  isCurrentHolder(holder: JournalHolder): boolean {
    const currentHolder = this.jobs.get(holder.job)?.holder;
    return currentHolder?.term === holder.term && currentHolder.writer === holder.writer;
  }

  /** Applies a change whose holder is known to have no {@link conflictingHolder}. */
  apply(change: JournalChange): void {
    const { holder } = change;
    const state = this.jobs.get(holder.job) ?? { holder, changedAt: 0, entries: new Map() };
    state.holder = holder;
    state.changedAt = change.at;
    if (change.kind === 'released') for (const key of change.keys) state.entries.delete(key);
    else for (const entry of change.entries) state.entries.set(keyOfEntry(entry), entry);
    this.jobs.set(holder.job, state);
  }

  entriesOf(job: string): readonly JournalEntry[] {
    return [...(this.jobs.get(job)?.entries.values() ?? [])];
  }

  /** Holders of jobs with entries. */
  holders(): JournalHolder[] {
    const withEntries = [...this.jobs.values()].filter(({ entries }) => entries.size > 0);
    return withEntries.map(({ holder }) => holder);
  }

  /** Removes jobs, and rights to accept jobs, whose last change was before a time of day. */
  removeOlderThan(limits: { readonly jobs: Milliseconds; readonly rights: Milliseconds }): void {
    for (const [key, { changedAt }] of this.jobs) {
      const limit = key.startsWith(TRAINER_KEY_PREFIX) ? limits.rights : limits.jobs;
      if (changedAt < limit) this.jobs.delete(key);
    }
  }

  /** Changes that rebuild the current state. */
  changes(): JournalChange[] {
    return [...this.jobs.values()].map(({ holder, entries, changedAt: at }) => ({
      kind: 'held',
      holder,
      entries: [...entries.values()],
      at,
    }));
  }
}
