/** Changes the owner of jobs: takes over, releases and offers them, and accepts offered ones. */
import type { Milliseconds } from '../core/units.js';
import type { ClaimRelease, JournalHolder } from '../journal/journal-entries.js';
import { FIRST_TERM, type ZoneJournals } from '../journal/zone-journals.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { JobResidency } from '../placement/job-residency.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { JobPeers } from './job-peers.js';
import { isFinished, type JobHead, type JobOwner, weightNeedOf } from './job-records.js';
import type { JobStore, StillNeeded, VersionedHead } from './job-store.js';
import { type ClaimedJournal, JournalClaims, writerOf } from './journal-claims.js';
import { JournalWriteBack } from './journal-write-back.js';
import type { OwnedJob } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';
import { untilAvailable } from './store-reads.js';

/** Time in which a live node that claimed a journal becomes the owner of its job in the store. */
const MAX_TAKEOVER_TIME: Milliseconds = 1_500;

const MAY_BE_STORED: ClaimRelease = { mayBeStored: true, mayHaveRun: true };

export interface JobTransferOptions {
  readonly store: JobStore;
  readonly owned: OwnedJobs;
  readonly peers: JobPeers;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly self: JobOwner;
  /** The zones' journals, if zones accept jobs without the store. */
  readonly journals?: ZoneJournals | undefined;
  readonly residency: JobResidency;
  /** Called if the store may still make this node the owner of a job. */
  readonly noteUncertain: (job: string) => void;
  /** Whether the node incarnation that claimed a journal is live. @default all are */
  readonly isWriterLive?: (writer: string) => boolean;
}

/** Takes over jobs from other owners and transfers own jobs to other nodes. */
export class JobTransfer {
  private readonly jobsInTakeover = new Set<string>();
  private isTransferring = false;
  private readonly writeBack: JournalWriteBack;
  private readonly claims: JournalClaims | undefined;

  constructor(private readonly options: JobTransferOptions) {
    this.writeBack = new JournalWriteBack(options);
    const { journals, log } = options;
    this.claims = journals === undefined ? undefined : new JournalClaims({ journals, log });
  }

  /** Whether a takeover of the job by this node is in progress. */
  isTakingOver(job: string): boolean {
    return this.jobsInTakeover.has(job);
  }

  /**
   * Takes over a job; returns whether this node owns it now. Concurrent calls for one job return
   * false. An owner that still answers is asked for its unlisted results and progress.
   */
  async takeOver(job: string, found: VersionedHead, ownerAnswers: boolean): Promise<boolean> {
    if (this.jobsInTakeover.has(job) || !this.mayTakeOver(job, found.head)) return false;
    this.jobsInTakeover.add(job);
    return this.performTakeover(job, found, ownerAnswers).finally(() =>
      this.jobsInTakeover.delete(job),
    );
  }

  /** Whether this node may store the job, decided by its head so that nothing else is read. */
  private mayTakeOver(job: string, head: JobHead): boolean {
    const { residency, log } = this.options;
    const allowed = residency.regionsForOrigin(head);
    if (residency.mayHoldHere(allowed)) return true;
    log.state('job-not-adopted', { job, allowedRegions: allowed?.join() ?? 'any' });
    return false;
  }

  private async performTakeover(
    job: string,
    found: VersionedHead,
    ownerAnswers: boolean,
  ): Promise<boolean> {
    const { store, owned, peers, self, log, metrics, clock } = this.options;
    const claimed = await this.claimJournal(job, found);
    if (claimed === 'not-claimed') return false;
    const isStillNeeded = (): boolean => false;
    const fields = {
      owner: self,
      ...(claimed === undefined ? {} : { term: claimed.journal.term }),
    };
    const ownedSince = suspendAwareTime(clock);
    const change = await store.replace(job, found, fields, isStillNeeded);
    if (change.kind === 'unavailable' && change.mayBeDone) this.options.noteUncertain(job);
    if (change.kind !== 'changed') {
      void claimed?.journal.releaseClaim(MAY_BE_STORED);
      return false;
    }
    const { owner } = found.head;
    const isOwnerAsked = ownerAnswers && owner !== null;
    const [released, spec, results, progress] = await Promise.all([
      isOwnerAsked ? peers.releaseAtOwner(owner, job) : undefined,
      untilAvailable(clock, () => store.specification(job)),
      untilAvailable(clock, () => store.results(job, 0)),
      untilAvailable(clock, () => store.progress(job)),
    ]);
    if (spec === undefined) return false;
    const durable = await this.writeBack.makeDurable(claimed, change.current);
    if (durable === undefined) return false;
    const { head, stored, journaled } = durable;
    const listed = [...(results ?? []).flat(), ...stored];
    // The store has all results of a finished job, so it is not run.
    if (!isFinished(head.head)) {
      const initialWork = owned.earlierWork(spec, progress ?? {}, released);
      const state = { journal: claimed?.journal, resumed: journaled, ownedSince };
      owned.add(spec, head, listed, initialWork, state);
      peers.reportWeightNeed(weightNeedOf(spec));
    }
    const previous = found.head.owner?.node ?? 'none';
    const details = { job, previous, listed: listed.length, handed: released?.size ?? 0 };
    log.state('job-adopted', { ...details, journaled: journaled.length });
    metrics.count('jobs_adopted', { cause: takeoverCauseOf(owner, ownerAnswers) });
    return true;
  }

  /**
   * Fences the previous owner off from the job's journal and reads its entries. If no replica
   * answers, because its zone is unreachable, the previous owner keeps the job.
   */
  private async claimJournal(
    job: string,
    found: VersionedHead,
  ): Promise<ClaimedJournal | undefined | 'not-claimed'> {
    const { log, residency } = this.options;
    const { replicas, term = FIRST_TERM } = found.head;
    if (replicas === undefined || this.claims === undefined) return undefined;
    const isAbandoned = (holder: JournalHolder): Promise<boolean> =>
      this.isAbandoned(job, found, holder);
    const { journal, claim } = await this.claims.claim(job, replicas, term + 1, isAbandoned);
    const allowed = residency.regionsForOrigin(found.head);
    if (!replicas.every(({ zone }) => residency.mayHoldIn(zone, allowed))) journal.disableAppends();
    if (claim.kind === 'claimed') return { journal, entries: claim.entries };
    if (claim.kind === 'disks-gone') return { journal, entries: [] };
    log.state('job-not-adopted', { job, journal: claim.kind });
    // Some replicas may have granted the claim.
    void journal.releaseClaim(MAY_BE_STORED);
    return 'not-claimed';
  }

  /**
   * Whether the holder of a journal has not become the owner after its claim, and will not. A live
   * node other than this one may still be taking the job over. If the holder becomes the owner
   * nevertheless, this takeover fails at its commit, and the holder lists through the store alone.
   */
  private async isAbandoned(
    job: string,
    found: VersionedHead,
    { writer, release }: JournalHolder,
  ): Promise<boolean> {
    const { self, clock, isWriterLive = () => true } = this.options;
    if (release === undefined && writer !== writerOf(self) && isWriterLive(writer)) {
      const { owner } = found.head;
      if (owner !== null && writer === writerOf(owner)) return false;
      if (!(await this.isCurrent(job, found))) return false;
      // Random, so that two nodes that refused each other do not claim again at the same time.
      await clock.sleep(MAX_TAKEOVER_TIME * (1 + Math.random()));
    }
    return this.isCurrent(job, found);
  }

  /** Whether the store still has this version of a job's head. */
  private async isCurrent(job: string, { revision }: VersionedHead): Promise<boolean> {
    const read = await this.options.store.head(job);
    return read.kind === 'found' && read.value.revision === revision;
  }

  /** Takes over a job that its owner has released. */
  async takeReleased(job: string): Promise<boolean> {
    const read = await this.options.store.head(job);
    if (read.kind !== 'found' || isFinished(read.value.head)) return false;
    return read.value.head.owner === null && this.takeOver(job, read.value, false);
  }

  /** Releases all open jobs and offers them to other nodes. */
  async release(isStillNeeded: StillNeeded): Promise<void> {
    const openJobs = this.options.owned.all().filter((job) => job.isOpen);
    await Promise.all(
      openJobs.map(async (job) => {
        await job.release(isStillNeeded);
        const allowed = this.options.residency.regionsForSpec(job.spec);
        if (job.closeReason === 'released')
          await this.options.peers.offerReleased(job.spec.id, allowed);
      }),
    );
  }

  /** Transfers jobs that the current configuration does not allow on this node. */
  async transferMisplaced(): Promise<void> {
    const { owned, residency } = this.options;
    if (!residency.limitsRegions || this.isTransferring) return;
    this.isTransferring = true;
    for (const job of owned.all()) {
      const allowed = residency.regionsForSpec(job.spec);
      if (job.isOpen && !residency.mayHoldHere(allowed)) await this.transfer(job, allowed);
    }
    this.isTransferring = false;
  }

  private async transfer(job: OwnedJob, allowed: AllowedRegions): Promise<void> {
    const { peers, self, log, metrics } = this.options;
    const isTransferred = await peers.transferMisplaced(job.spec.id, self, allowed);
    metrics.count('jobs_moved_by_region', { outcome: isTransferred ? 'moved' : 'not-taken' });
    const allowedRegions = allowed?.join() ?? 'any';
    if (isTransferred) log.state('job-moved-by-region', { job: job.spec.id, allowedRegions });
  }
}

/** Label of the takeover counter. */
function takeoverCauseOf(owner: JobOwner | null, ownerAnswers: boolean): string {
  if (owner === null) return 'released';
  return ownerAnswers ? 'cut-off' : 'lost';
}
