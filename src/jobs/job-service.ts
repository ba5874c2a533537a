/** Job operations that any node serves: submit, read results, read an item's body, cancel. */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { PeerAnswers } from '../peers/peer-messages.js';
import { type JobResidency, UNRESTRICTED_RESIDENCY } from '../placement/job-residency.js';
import type { CallerIdentity } from '../tenants/tenant.js';
import type { DigestedWork } from './item-work-cache.js';
import { JobAdmission } from './job-admission.js';
import { JobCancellations } from './job-cancellations.js';
import type { CancellationAtOwner, JobPeers } from './job-peers.js';
import type { JobReader } from './job-reader.js';
import { JobReadings } from './job-readings.js';
import { ageOf, isFinished, type JobOwner, type JobSpecification } from './job-records.js';
import type { ResultSlice } from './job-results.js';
import type { StillNeeded, VersionedHead } from './job-store.js';
import { JobSubmissions } from './job-submissions.js';
import { JobTransfer } from './job-transfer.js';
import { JournalRecovery } from './journal-recovery.js';
import type { OwnedJob } from './owned-job.js';
import { OwnedJobs, type OwnedJobsOptions } from './owned-jobs.js';
import { ReadLog } from './read-log.js';
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

/** Interval between scans for jobs that this node may no longer store. */
const RESIDENCY_SCAN_INTERVAL: Milliseconds = 500;

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
  private readonly readings: JobReadings;
  private readonly cancellations: JobCancellations;
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
    this.readings = new JobReadings({ ...shared, reads: this.reads });
    this.cancellations = new JobCancellations({
      ...{ ...shared, reads: this.reads },
      mayBeCreated: (job) => this.submissions.isPending(job) || this.uncertain.has(job),
    });
    this.submissions = new JobSubmissions(shared);
    this.admission = new JobAdmission({ ...options, submissions: this.submissions });
    this.transfer = new JobTransfer(shared);
    this.uncertain = new UncertainOwnership({
      ...options,
      isHandled: (job) =>
        owned.get(job)?.isActive === true ||
        this.submissions.isPending(job) ||
        this.transfer.isTakingOver(job),
      noteAbsent: (job) => this.submissions.noteAbsent(job),
      takeOver: (job, found) => this.transfer.takeOver(job, found, false),
    });
    if (journals === undefined || homes === undefined) return;
    const isPending = (job: string): boolean =>
      this.submissions.isPending(job) || this.transfer.isTakingOver(job);
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
  async takeOver(job: string, found: VersionedHead, ownerAnswers = false): Promise<boolean> {
    const { self } = this.options;
    const { owner } = found.head;
    const isOwn = owner?.node === self.node && owner.incarnation === self.incarnation;
    // The job is added to the owned ones when its submission is complete.
    if (isOwn && this.submissions.isPending(job)) return false;
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
    this.submissions.tick(now);
    if (now < this.nextResidencyScanAt) return;
    this.nextResidencyScanAt = now + RESIDENCY_SCAN_INTERVAL;
    this.owned.dropMisplaced();
    void this.transfer.transferMisplaced();
  }

  /** Results from position `after` on; an owner waits up to `wait` for the first one. */
  read(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    return this.readings.read(job, after, wait, caller);
  }

  /** Reads for a node that does not reach the store. */
  readForPeer(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    return this.readings.readForPeer(job, after, wait, caller);
  }

  /** Reports results to another node, if this node can answer for the job. */
  ownListing(job: string, after: number, wait: Milliseconds): Promise<PeerAnswers['job-results']> {
    return this.readings.ownListing(job, after, wait);
  }

  /** Reads the request body of one item, at the owner or in the store. */
  itemBody(job: string, item: string, caller: CallerIdentity): Promise<Buffer | Failure> {
    return this.readings.itemBody(job, item, caller);
  }

  /** Reads the request body of an item for another node, if this node owns or owned the job. */
  ownItemBody(job: string, item: string): PeerAnswers['item-body'] {
    return this.readings.ownItemBody(job, item);
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

  /** Cancels a job; `undefined` means that it is cancelled. */
  cancel(
    job: string,
    caller: CallerIdentity,
    isStillNeeded: StillNeeded,
  ): Promise<Failure | undefined> {
    return this.cancellations.cancel(job, caller, isStillNeeded);
  }

  /** Cancels a job on this node, at its owner or in the store. */
  cancelHere(
    job: string,
    caller: CallerIdentity,
    isStillNeeded: StillNeeded,
  ): Promise<Failure | undefined> {
    return this.cancellations.cancelHere(job, caller, isStillNeeded);
  }

  /** Cancels a job that this node owns; returns whether it is cancelled. */
  cancelOwn(job: string, caller: CallerIdentity): Promise<CancellationAtOwner> {
    return this.cancellations.cancelOwn(job, caller);
  }

  /** Notes that another node may cancel a job that this node owns, because this one does not. */
  noteCancellationRequested(job: string, caller: CallerIdentity): void {
    this.cancellations.noteRequested(job, caller);
  }
}
