/**
 * Tracks jobs whose head may name this node as owner although this node does not run them, because
 * the store did not answer the commit and may carry it out late. Other nodes see a live owner.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import { isFinished, type JobOwner } from './job-records.js';
import type { JobStore, VersionedHead } from './job-store.js';

export interface UncertainOwnershipOptions {
  readonly store: JobStore;
  readonly clock: Pick<Clock, 'now'>;
  readonly self: JobOwner;
  /** Whether this node runs the job, or decides about it now. */
  readonly isHandled: (job: string) => boolean;
  /** Called once the store is certain not to have a job, nor to create it late. */
  readonly noteAbsent: (job: string) => void;
  /** Takes over a job that this node owns without running it. */
  readonly takeOver: (job: string, found: VersionedHead) => Promise<boolean>;
}

/**
 * What is known of a job's owner. `handled`: this node runs the job or decides about it; `not-taken`:
 * this node is the owner and could not take it over; `unavailable`: the store does not answer.
 */
type Ownership = 'settled' | 'handled' | 'not-taken' | 'absent' | 'unavailable';

const CHECK_INTERVAL: Milliseconds = 2_000;

/** Time after which a commit without an answer is no longer carried out. */
const LATE_COMMIT_TIME: Milliseconds = 30_000;

export class UncertainOwnership {
  /** When each job is no longer checked. */
  private readonly jobs = new Map<string, Milliseconds>();
  private nextCheckAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private isChecking = false;

  constructor(private readonly options: UncertainOwnershipOptions) {}

  /** Checks a job until its owner is certain. */
  note(job: string): void {
    this.jobs.set(job, this.options.clock.now() + LATE_COMMIT_TIME);
  }

  /** Whether the owner of a job is uncertain. */
  has(job: string): boolean {
    return this.jobs.has(job);
  }

  tick(now: Milliseconds): void {
    if (this.jobs.size === 0 || this.isChecking || now < this.nextCheckAt) return;
    this.nextCheckAt = now + CHECK_INTERVAL;
    this.isChecking = true;
    void this.check(now).finally(() => {
      this.isChecking = false;
    });
  }

  private async check(now: Milliseconds): Promise<void> {
    for (const [job, until] of this.jobs) {
      const ownership = await this.ownershipOf(job);
      // An outage may outlast the time, so a job is read at least once after it.
      const isOver = (ownership === 'absent' || ownership === 'not-taken') && now >= until;
      const isNotedAgain = this.jobs.get(job) !== until;
      if (isNotedAgain || (ownership !== 'settled' && !isOver)) continue;
      this.jobs.delete(job);
      if (ownership === 'absent') this.options.noteAbsent(job);
    }
  }

  private async ownershipOf(job: string): Promise<Ownership> {
    const { store, self, isHandled, takeOver } = this.options;
    if (isHandled(job)) return 'handled';
    const read = await store.head(job);
    if (read.kind === 'unavailable') return 'unavailable';
    if (isHandled(job)) return 'handled';
    if (read.kind === 'absent') return 'absent';
    const { owner } = read.value.head;
    const isOwn = owner?.node === self.node && owner.incarnation === self.incarnation;
    if (!isOwn || isFinished(read.value.head)) return 'settled';
    return (await takeOver(job, read.value)) ? 'settled' : 'not-taken';
  }
}
