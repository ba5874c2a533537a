/** Job operations that any node serves: submit, read results, read an item's body, cancel. */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { PeerAnswers } from '../peers/peer-messages.js';
import { type JobResidency, UNRESTRICTED_RESIDENCY } from '../placement/job-residency.js';
import {
  type CallerIdentity,
  mayAccess,
  type TenantName,
  tenantNameOf,
} from '../tenants/tenant.js';
import type { DigestedWork } from './item-work-cache.js';
import { JobAdmission } from './job-admission.js';
import type { JobPeers } from './job-peers.js';
import type { JobReader } from './job-reader.js';
import { ageOf, isFinished, type JobOwner, type JobSpecification } from './job-records.js';
import { type ResultSlice, sliceOf } from './job-results.js';
import type { StillNeeded, VersionedHead } from './job-store.js';
import { JobSubmissions } from './job-submissions.js';
import { JobTransfer } from './job-transfer.js';
import { JournalRecovery } from './journal-recovery.js';
import type { OwnedJob } from './owned-job.js';
import { OwnedJobs, type OwnedJobsOptions } from './owned-jobs.js';
import { ReadLog, type Unanswered } from './read-log.js';
import { STORE_RETRY_AFTER } from './store-reads.js';
import { TrainerHomes } from './trainer-homes.js';
import { UncertainOwnership } from './uncertain-ownership.js';

export interface JobServiceOptions extends OwnedJobsOptions {
  readonly reader: JobReader;
  readonly peers: JobPeers;
  /** Time after its submission for which a job stays readable. */
  readonly retention: () => Milliseconds;
  /** Whether the node incarnation that wrote to a journal is live. @default all are */
  readonly isWriterLive?: (writer: string) => boolean;
  /** Which nodes may store a job. @default all */
  readonly residency?: JobResidency | undefined;
  /** Whether no build without trainer records may be running. @default none is */
  readonly areTrainerRecordsUsedByAll?: () => boolean;
  /** Whether this node recovers jobs that only the zone's journal has. @default it does not */
  readonly canRecover?: () => boolean;
}

/**
 * An owner reports that no more results are listed only if its ownership was confirmed within this
 * time.
 */
const MAX_END_OF_LIST_CONFIRMATION_AGE: Milliseconds = 700;

/** Interval between scans for jobs that this node may no longer store. */
const RESIDENCY_SCAN_INTERVAL: Milliseconds = 500;

/** Timeout for confirming the ownership while a reader waits. */
const VERIFY_TIMEOUT: Milliseconds = 400;

/** Added to the retention, since machine clocks differ. */
const RETENTION_MARGIN: Milliseconds = 30_000;

/** Serves the jobs of the fleet on one node. */
export class JobService {
  private readonly owned: OwnedJobs;
  private readonly submissions: JobSubmissions;
  private readonly admission: JobAdmission;
  private readonly transfer: JobTransfer;
  private readonly recovery: JournalRecovery | undefined;
  private readonly residency: JobResidency;
  private readonly homes: TrainerHomes | undefined;
  private readonly uncertain: UncertainOwnership;
  private readonly reads: ReadLog;
  private nextResidencyScanAt: Milliseconds = 0;

  constructor(private readonly options: JobServiceOptions) {
    this.owned = new OwnedJobs(options);
    this.reads = new ReadLog(options.log, options.metrics);
    this.residency = options.residency ?? UNRESTRICTED_RESIDENCY;
    const { journals, isWriterLive = () => true, canRecover = () => false } = options;
    if (journals !== undefined) this.homes = new TrainerHomes({ ...options, journals });
    const { owned, residency, homes } = this;
    const noteUncertain = (job: string): void => this.uncertain.note(job);
    const shared = { ...options, owned, residency, homes, noteUncertain };
    this.submissions = new JobSubmissions(shared);
    this.admission = new JobAdmission({ ...options, submissions: this.submissions });
    this.transfer = new JobTransfer(shared);
    this.uncertain = new UncertainOwnership({
      ...options,
      isHandled: (job) =>
        owned.get(job)?.isActive === true ||
        this.submissions.isPending(job) ||
        this.transfer.isTakingOver(job),
      takeOver: (job, found) => this.transfer.takeOver(job, found, false),
    });
    if (journals === undefined || homes === undefined) return;
    const isPending = (job: string): boolean => this.submissions.isPending(job);
    const recovery = { ...shared, journals, homes, isWriterLive, canRecover, isPending };
    this.recovery = new JournalRecovery(recovery);
  }

  /** Jobs that this node owns, and recently closed ones. */
  ownedJobs(): readonly OwnedJob[] {
    return this.owned.all();
  }

  /**
   * Has a job accepted; `undefined` means that the job is durably stored. The node that is to run
   * the job accepts it, which is usually another one.
   */
  submit(spec: JobSpecification, isStillNeeded: StillNeeded): Promise<Failure | undefined> {
    return this.admission.submit(spec, isStillNeeded);
  }

  /** Accepts a job on this node for another node. */
  submitHere(
    spec: JobSpecification,
    isStillNeeded: StillNeeded,
    isFromOutside = false,
  ): Promise<Failure | undefined> {
    return this.submissions.submit(spec, isStillNeeded, isFromOutside);
  }

  /**
   * Takes over a job whose owner has terminated, or answers but cannot reach the store; returns
   * whether this node owns it now.
   */
  takeOver(job: string, found: VersionedHead, ownerAnswers = false): Promise<boolean> {
    return this.transfer.takeOver(job, found, ownerAnswers);
  }

  /** Releases a job that another node has taken over; returns this node's unlisted work on it. */
  releaseTakenOver(job: string, zone?: ZoneName): Map<string, DigestedWork> {
    return this.owned.releaseTakenOver(job, zone);
  }

  /** Whether this node is taking over a job, and so owns it without running it yet. */
  isTakingOver(job: string): boolean {
    return this.transfer.isTakingOver(job);
  }

  /** Takes over a job that its owner has released. */
  takeReleased(job: string): Promise<boolean> {
    return this.transfer.takeReleased(job);
  }

  /** Releases all open jobs to other nodes, and runs none from now on. */
  release(isStillNeeded: StillNeeded): Promise<void> {
    this.submissions.stopRunningJobs();
    return this.transfer.release(isStillNeeded);
  }

  /** Cached work on items that a node of `zone` may receive. */
  cachedWorkOf(items: readonly string[], zone?: ZoneName): Map<string, DigestedWork> {
    return this.owned.cachedWorkOf(items, zone);
  }

  /** Called if this machine may have been suspended. */
  noteSuspended(): void {
    this.homes?.clear();
  }

  tick(): void {
    this.owned.tick();
    const now = this.options.clock.now();
    this.recovery?.tick(now);
    this.uncertain.tick(now);
    if (now < this.nextResidencyScanAt) return;
    this.nextResidencyScanAt = now + RESIDENCY_SCAN_INTERVAL;
    this.owned.dropMisplaced();
    void this.transfer.transferMisplaced();
  }

  /** Results from position `after` on; an owner waits up to `wait` for the first one. */
  async read(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    const forwarded = await this.options.peers.readElsewhere(job, after, wait, caller);
    if (forwarded === undefined) return this.readHere(job, after, wait, caller);
    if ('results' in forwarded) this.reads.noteRead(job, after, forwarded, { from: 'relay' });
    return forwarded;
  }

  /**
   * Reads for a node that does not reach the store. The results pass through this node, so it must
   * be allowed to store the job.
   */
  async readForPeer(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    const { residency } = this;
    if (residency.limitsRegions && this.owned.answerable(job) === undefined) {
      const read = await this.options.store.head(job);
      // Without a head the allowed regions are unknown, so no other node is queried.
      if (read.kind !== 'found') {
        const missing = await this.options.reader.explainMissing(job, read.kind);
        this.reads.noteUnread(job, after, missing);
        return failureOf(missing);
      }
      if (!residency.mayHoldHere(residency.regionsForOrigin(read.value.head))) return REGION_DENIED;
    }
    return this.readHere(job, after, wait, caller);
  }

  /** Reads from this node's own jobs, the owner or the store. */
  async readHere(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    const ownedJob = this.owned.answerable(job);
    if (ownedJob !== undefined) {
      if (!mayAccess(caller, ownedJob.spec.tenant))
        return this.deny(job, ownedJob.spec.tenant, caller);
      return this.readOwned(ownedJob, after, wait, caller);
    }
    const read = await this.options.reader.listing(job, after, wait);
    if (read.kind !== 'found') {
      this.reads.noteUnread(job, after, read);
      return failureOf(read);
    }
    const { tenant, source } = read.value;
    if (!mayAccess(caller, tenant)) return this.deny(job, tenant, caller);
    const slice = sliceOf(read.value, after);
    this.reads.noteRead(job, after, slice, source);
    return slice;
  }

  /** Reads the request body of one item, at the owner or in the store. */
  async itemBody(job: string, item: string, caller: CallerIdentity): Promise<Buffer | Failure> {
    const ownedJob = this.owned.get(job);
    if (ownedJob === undefined) {
      const reported = await this.options.peers.bodyAtOwner(job, item);
      if (reported !== undefined) {
        if (!mayAccess(caller, reported.tenant)) return this.deny(job, reported.tenant, caller);
        return bodyOrAbsent(reported.body);
      }
    }
    const specification =
      ownedJob === undefined
        ? await this.options.reader.specification(job)
        : ({ kind: 'found', value: ownedJob.spec } as const);
    if (specification.kind !== 'found') {
      this.reads.noteUnanswered('item-body', job, specification);
      return failureOf(specification);
    }
    const { tenant, items } = specification.value;
    if (!mayAccess(caller, tenant)) return this.deny(job, tenant, caller);
    return bodyOrAbsent(items.find((entry) => entry.id === item)?.body);
  }

  /** Reads the request body of an item for another node, if this node owns or owned the job. */
  ownItemBody(job: string, item: string): PeerAnswers['item-body'] {
    const ownedJob = this.owned.get(job);
    if (ownedJob === undefined) return { isOwner: false };
    const body = ownedJob.spec.items.find((entry) => entry.id === item)?.body;
    return { isOwner: true, tenant: ownedJob.spec.tenant, body };
  }

  /** Takes over a job on request of another node; returns whether this node owns it now. */
  async takeOverFrom(job: string, owner: JobOwner, ownerAnswers: boolean): Promise<boolean> {
    const read = await this.options.store.head(job);
    if (read.kind !== 'found' || isFinished(read.value.head)) return false;
    const { owner: currentOwner } = read.value.head;
    const isStillOwner =
      currentOwner?.node === owner.node && currentOwner.incarnation === owner.incarnation;
    return isStillOwner && this.takeOver(job, read.value, ownerAnswers);
  }

  /** Cancels a job; `undefined` means that it is cancelled. */
  async cancel(
    job: string,
    caller: CallerIdentity,
    isStillNeeded: StillNeeded,
  ): Promise<Failure | undefined> {
    const forwarded = await this.options.peers.cancelElsewhere(job, caller);
    if (forwarded !== undefined && forwarded.failure === undefined) {
      this.owned.get(job)?.noteCancelledElsewhere();
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
    const ownedJob = this.owned.get(job);
    if (ownedJob !== undefined && !mayAccess(caller, ownedJob.spec.tenant)) {
      return this.deny(job, ownedJob.spec.tenant, caller);
    }
    if (ownedJob?.canCancel === true && (await ownedJob.cancel(isStillNeeded))) return undefined;
    if (ownedJob === undefined && (await this.cancelAtLikelyOwner(job, caller))) return undefined;
    for (;;) {
      const read = await this.options.store.head(job);
      if (read.kind === 'absent') {
        const missing = await this.options.reader.explainMissing(job, read.kind);
        this.reads.noteUnanswered('cancel', job, missing);
        return failureOf(missing);
      }
      if (read.kind === 'found') {
        const { ended: isCancelled, owner, tenant } = read.value.head;
        if (!mayAccess(caller, tenant)) return this.deny(job, tenant, caller);
        if (isCancelled) return undefined;
        const isCancelledByOwner =
          owner !== null && (await this.options.peers.cancelAtOwner(owner, job, caller));
        if (isCancelledByOwner) return undefined;
        const ended = { ended: true };
        const change = await this.options.store.replace(job, read.value, ended, isStillNeeded);
        if (change.kind === 'changed') {
          this.options.log.state('job-cancelled', { job, owner: 'none', durableBy: 'store' });
          return undefined;
        }
      }
      if (!isStillNeeded()) {
        const cause = read.kind === 'found' ? 'change-not-confirmed' : 'store-silent';
        this.reads.noteUnanswered('cancel', job, { kind: 'unavailable', cause });
        return storeUnavailable();
      }
      await this.options.clock.sleep(STORE_RETRY_AFTER);
    }
  }

  private async cancelAtLikelyOwner(job: string, caller: CallerIdentity): Promise<boolean> {
    const [owner] = this.options.peers.likelyOwners(job);
    return owner !== undefined && this.options.peers.cancelAtOwner(owner, job, caller);
  }

  /** Hides a job from other tenants as if it did not exist; only the log shows the difference. */
  private deny(job: string, tenant: TenantName | undefined, caller: CallerIdentity): Failure {
    const details = { job, tenant: tenant ?? 'none', caller: tenantNameOf(caller) ?? caller.kind };
    this.options.log.decision('job-access-refused', details);
    return NO_SUCH_JOB;
  }

  /** Removes finished jobs whose retention has expired from the store. */
  async removeExpired(): Promise<void> {
    const { store, clock, log, retention } = this.options;
    const read = await store.heads();
    if (read.kind !== 'found') return;
    for (const [job, found] of read.value) {
      const age = ageOf(found.head, clock.wallTime());
      if (!isFinished(found.head) || age < retention() + RETENTION_MARGIN) continue;
      await store.remove(job, found);
      log.state('job-removed', { job, ageMs: Math.round(age) });
    }
  }

  /** Reports results to another node, if this node can answer for the job. */
  async ownListing(
    job: string,
    after: number,
    wait: Milliseconds,
  ): Promise<PeerAnswers['job-results']> {
    const ownedJob = this.owned.answerable(job);
    if (ownedJob === undefined) return { isOwner: false };
    await this.awaitResults(ownedJob, after, wait);
    if (!ownedJob.canAnswer || mayLackResults(ownedJob, after)) return { isOwner: false };
    const { items, tenant } = ownedJob.spec;
    const total = items.length;
    const { pages, results } = ownedJob;
    const allowedRegions = this.residency.regionsForSpec(ownedJob.spec);
    const restriction = allowedRegions === undefined ? {} : { allowedRegions };
    return { isOwner: true, tenant, total, pages, results: results.slice(after), ...restriction };
  }

  /** Cancels a job that this node owns; returns whether it is cancelled. */
  async cancelOwn(job: string, caller: CallerIdentity): Promise<boolean> {
    const ownedJob = this.owned.get(job);
    if (ownedJob === undefined || !mayAccess(caller, ownedJob.spec.tenant)) return false;
    return ownedJob.canCancel ? ownedJob.cancel(() => false) : ownedJob.isCancelled;
  }

  private async readOwned(
    job: OwnedJob,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    await this.awaitResults(job, after, wait);
    if (!job.canAnswer) return this.readHere(job.spec.id, after, 0, caller);
    const { id, items } = job.spec;
    if (mayLackResults(job, after)) {
      const unread = { kind: 'unavailable', cause: 'ownership-unconfirmed' } as const;
      this.reads.noteUnread(id, after, unread);
      return storeUnavailable();
    }
    const { pages, term } = job;
    const slice = sliceOf({ total: items.length, results: job.results }, after);
    this.reads.noteRead(id, after, slice, { from: 'owner', owner: this.options.self, pages, term });
    return slice;
  }

  /** Waits for a result at or after a position, or confirms that none is listed. */
  private async awaitResults(job: OwnedJob, after: number, wait: Milliseconds): Promise<void> {
    if (after >= job.results.length && job.isOpen && wait > 0) await firstChange(job, wait);
    if (!mayLackResults(job, after)) return;
    // The verification may be queued behind a commit that the store does not answer.
    await Promise.race([job.verifyNow(), this.options.clock.sleep(VERIFY_TIMEOUT)]);
  }
}

const REGION_DENIED = failure('region_unavailable', 'the job may not lie in this region');
const NO_SUCH_JOB = failure('not_found', 'there is no such job');

/** Whether another owner may have listed results that this one does not have. */
function mayLackResults(job: OwnedJob, after: number): boolean {
  const isShort = after >= job.results.length && job.isOpen;
  return isShort && job.confirmationAge() > MAX_END_OF_LIST_CONFIRMATION_AGE;
}

function failureOf({ kind }: Unanswered): Failure {
  return kind === 'absent' ? NO_SUCH_JOB : storeUnavailable();
}

function bodyOrAbsent(body: string | undefined): Buffer | Failure {
  if (body === undefined) return failure('not_found', 'the job has no such item');
  return Buffer.from(body, 'base64');
}

function storeUnavailable(): Failure {
  return failure('ledger_unavailable', 'the store does not answer', {
    retryAfter: STORE_RETRY_AFTER,
  });
}

/** Waits until a job lists results or closes, at most for `wait`. */
function firstChange(job: OwnedJob, wait: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      subscription.unsubscribe();
      resolve();
    };
    const timer = setTimeout(finish, wait);
    const subscription = job.changed.subscribe(finish);
  });
}
