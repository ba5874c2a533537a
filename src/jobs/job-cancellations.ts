/** Cancels jobs: at a node that reaches the store, at their owners, or in the store. */
import type { Failure } from '../errors/error-kinds.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { type CallerIdentity, mayAccess } from '../tenants/tenant.js';
import { denyAccess, failureOf, storeUnavailable } from './job-answers.js';
import type { CancellationAtOwner, JobPeers } from './job-peers.js';
import type { JobReader } from './job-reader.js';
import type { JobOwner } from './job-records.js';
import type { JobStore, StillNeeded } from './job-store.js';
import { writerOf } from './journal-claims.js';
import type { OwnedJobs } from './owned-jobs.js';
import type { ReadLog } from './read-log.js';
import { STORE_RETRY_AFTER } from './store-reads.js';

export interface JobCancellationsOptions {
  readonly store: JobStore;
  readonly reader: JobReader;
  readonly owned: OwnedJobs;
  readonly peers: JobPeers;
  readonly clock: Pick<Clock, 'sleep'>;
  readonly log: DecisionLog;
  readonly reads: ReadLog;
  /** Whether this node may still create a job that the store does not have. */
  readonly mayBeCreated: (job: string) => boolean;
  /** Whether the node incarnation that owns a job is live. @default all are */
  readonly isWriterLive?: (writer: string) => boolean;
}

/** Why a cancellation got no answer, by the last read of the head. */
const CAUSES = {
  found: 'change-not-confirmed',
  absent: 'may-be-created',
  unavailable: 'store-silent',
} as const;

export class JobCancellations {
  constructor(private readonly options: JobCancellationsOptions) {}

  /** Cancels a job; `undefined` means that it is cancelled. */
  async cancel(
    job: string,
    caller: CallerIdentity,
    isStillNeeded: StillNeeded,
  ): Promise<Failure | undefined> {
    const forwarded = await this.options.peers.cancelElsewhere(job, caller);
    if (forwarded !== undefined && forwarded.failure === undefined) {
      this.options.owned.get(job)?.noteCancelledElsewhere();
      return undefined;
    }
    return this.cancelHere(job, caller, isStillNeeded);
  }

  /** Cancels a job on this node, at its owner or in the store. */
  async cancelHere(
    job: string,
    caller: CallerIdentity,
    isStillNeeded: StillNeeded,
  ): Promise<Failure | undefined> {
    const ownedJob = this.options.owned.get(job);
    if (ownedJob !== undefined && !mayAccess(caller, ownedJob.spec.tenant)) {
      return denyAccess(this.options.log, job, ownedJob.spec.tenant, caller);
    }
    if (ownedJob?.canCancel === true && (await ownedJob.cancel(isStillNeeded))) return undefined;
    const atLikelyOwner = ownedJob === undefined && (await this.cancelAtLikelyOwner(job, caller));
    if (atLikelyOwner === true) return undefined;
    for (let isMarked = false; ; ) {
      // A creation that is under way here may be carried out after the read.
      const mayBeCreated = atLikelyOwner === 'may-be-created' || this.options.mayBeCreated(job);
      const read = await this.options.store.head(job);
      if (read.kind === 'absent') isMarked ||= await this.markEnd(job, caller);
      if (read.kind === 'absent' && isMarked && !mayBeCreated) {
        const missing = await this.options.reader.explainMissing(job, read.kind);
        this.options.reads.noteUnanswered('cancel', job, missing);
        return failureOf(missing);
      }
      if (read.kind === 'found') {
        const { ended: isCancelled, owner, tenant } = read.value.head;
        if (!mayAccess(caller, tenant)) return denyAccess(this.options.log, job, tenant, caller);
        if (isCancelled) return undefined;
        const isCancelledByOwner =
          owner !== null && (await this.options.peers.cancelAtOwner(owner, job, caller));
        if (isCancelledByOwner === true) return undefined;
        const ended = { ended: true };
        const change = await this.options.store.replace(job, read.value, ended, isStillNeeded);
        if (change.kind === 'changed') {
          this.options.log.state('job-cancelled', { job, owner: 'none', durableBy: 'store' });
          if (owner !== null) this.stopAtLostOwner(owner, job);
          return undefined;
        }
      }
      if (!isStillNeeded()) {
        const cause = CAUSES[read.kind];
        this.options.reads.noteUnanswered('cancel', job, { kind: 'unavailable', cause });
        return storeUnavailable();
      }
      await this.options.clock.sleep(STORE_RETRY_AFTER);
    }
  }

  /**
   * Marks a job that the store lacks, so that a creation under way or to come does not run it;
   * returns whether the store has a mark and still lacks the job.
   */
  private async markEnd(job: string, caller: CallerIdentity): Promise<boolean> {
    const outcome = await this.options.store.endMarks.record(job, caller);
    this.options.log.state('job-end-marked', { job, outcome });
    return outcome === 'recorded';
  }

  /**
   * Has an owner whose lease has expired stop running a job that this node has cancelled. It may run
   * on without the store, and nodes ask only live ones to cancel a job.
   */
  private stopAtLostOwner(owner: JobOwner, job: string): void {
    const { isWriterLive = () => true, peers } = this.options;
    if (!isWriterLive(writerOf(owner))) void peers.releaseAtOwner(owner, job);
  }

  private async cancelAtLikelyOwner(
    job: string,
    caller: CallerIdentity,
  ): Promise<CancellationAtOwner> {
    const [owner] = this.options.peers.likelyOwners(job);
    return owner !== undefined && this.options.peers.cancelAtOwner(owner, job, caller);
  }

  /** Cancels a job that this node owns; returns whether it is cancelled. */
  async cancelOwn(job: string, caller: CallerIdentity): Promise<CancellationAtOwner> {
    const ownedJob = this.options.owned.get(job);
    if (ownedJob === undefined) return this.options.mayBeCreated(job) ? 'may-be-created' : false;
    if (!mayAccess(caller, ownedJob.spec.tenant)) return false;
    return ownedJob.canCancel ? ownedJob.cancel(() => false) : ownedJob.isCancelled;
  }

  /** Notes that another node may cancel a job that this node owns, because this one does not. */
  noteRequested(job: string, caller: CallerIdentity): void {
    const ownedJob = this.options.owned.get(job);
    if (ownedJob === undefined || !mayAccess(caller, ownedJob.spec.tenant)) return;
    ownedJob.noteCancellationRequested();
  }
}
