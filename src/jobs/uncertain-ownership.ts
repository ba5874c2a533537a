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
  /** Takes over a job that this node owns without running it. */
  readonly takeOver: (job: string, found: VersionedHead) => Promise<boolean>;
}

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
      const isSettled = await this.isSettled(job);
      // An outage may outlast the time, so a job is read at least once after it.
      if (isSettled === true || (isSettled === false && now >= until)) this.jobs.delete(job);
    }
  }

  /** Whether the owner of a job is certain; `undefined` if the store does not answer. */
  private async isSettled(job: string): Promise<boolean | undefined> {
    const { store, self, isHandled, takeOver } = this.options;
    if (isHandled(job)) return false;
    const read = await store.head(job);
    if (read.kind === 'unavailable') return undefined;
    if (read.kind === 'absent') return false;
    const { owner } = read.value.head;
    const isOwn = owner?.node === self.node && owner.incarnation === self.incarnation;
    if (!isOwn || isFinished(read.value.head)) return !isHandled(job);
    return isHandled(job) || takeOver(job, read.value);
  }
}
