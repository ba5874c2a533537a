/**
 * Recovers journal entries whose owner has terminated: jobs that were accepted while the store was
 * unreachable, and results of jobs that were cancelled in the store before it had them. Open jobs
 * in the store are taken over through their heads instead.
 */
import type { Milliseconds } from '../core/units.js';
import type { ClaimRelease, JournalHolder } from '../journal/journal-entries.js';
import type { ReplicaLocation } from '../journal/replica-location.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { JobResidency } from '../placement/job-residency.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { JobPeers } from './job-peers.js';
import { isFinished, type JobOwner, type JobSpecification, weightNeedOf } from './job-records.js';
import type { CreationOutcome, JobStore, VersionedHead } from './job-store.js';
import { type ClaimedJournal, JournalClaims } from './journal-claims.js';
import { JournalWriteBack, listableChanges } from './journal-write-back.js';
import type { OwnedJobs } from './owned-jobs.js';
import { changeOfRecovered } from './trainer-changes.js';
import type { TrainerHomes } from './trainer-homes.js';
import type { TrainerChange } from './trainer-record.js';

/**
 * Interval between scans, which find only jobs and results that the store does not have; the owners
 * of other jobs are replaced through the store within seconds.
 */
const SCAN_INTERVAL: Milliseconds = 3_000;

export interface JournalRecoveryOptions {
  readonly journals: ZoneJournals;
  readonly store: JobStore;
  readonly owned: OwnedJobs;
  readonly residency: JobResidency;
  readonly peers: JobPeers;
  readonly self: JobOwner;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  /** Whether the node incarnation that wrote to the journal is live. */
  readonly isWriterLive: (writer: string) => boolean;
  /** Whether this node runs jobs and reaches the store. */
  readonly canRecover: () => boolean;
  /** Rights of this zone to accept the jobs of trainers. */
  readonly homes: TrainerHomes;
  /** Whether this node is processing a submission of the job, or taking it over. */
  readonly isPending: (job: string) => boolean;
  /** Called if the store may still create the job, with this node as its owner. */
  readonly noteUncertain: (job: string) => void;
}

const MAY_BE_STORED: ClaimRelease = { mayBeStored: true, mayHaveRun: true };

/** Scans the zone's journals for jobs without a live owner. */
export class JournalRecovery {
  private isScanning = false;
  private nextScanAt: Milliseconds = 0;
  /** Live holders that the last scan found, by job. */
  private liveHolders: ReadonlyMap<string, JournalHolder> = new Map();
  private readonly writeBack: JournalWriteBack;
  private readonly claims: JournalClaims;

  constructor(private readonly options: JournalRecoveryOptions) {
    this.writeBack = new JournalWriteBack(options);
    this.claims = new JournalClaims(options);
  }

  /** Starts a scan if one is due. */
  tick(now: Milliseconds): void {
    if (now < this.nextScanAt || this.isScanning || !this.options.canRecover()) return;
    this.nextScanAt = now + SCAN_INTERVAL;
    this.isScanning = true;
    void this.scan().finally(() => {
      this.isScanning = false;
    });
  }

  /** Recovers all journaled jobs that have no live owner. */
  async scan(): Promise<void> {
    const holders = await this.options.journals.unsyncedHolders();
    const live = holders.filter((holder) => !this.isAbandoned(holder));
    const earlier = this.liveHolders;
    this.liveHolders = new Map(live.map((holder) => [holder.job, holder]));
    for (const holder of holders) {
      if (this.isAbandoned(holder)) await this.recover(holder);
      else if (isSameClaim(holder, earlier.get(holder.job))) await this.recoverFinished(holder);
    }
  }

  /**
   * Lists journaled results of a finished job, and removes its entries, although a live node has
   * claimed its journal. That node may have lost the removal of an entry or never became the owner,
   * and a finished job is not taken over again. An owner that still writes results is fenced off
   * first, and recognizes them in the store.
   */
  private async recoverFinished(holder: JournalHolder): Promise<void> {
    const { store, owned, isPending } = this.options;
    if (owned.get(holder.job)?.isActive === true || isPending(holder.job)) return;
    const read = await store.head(holder.job);
    if (read.kind !== 'found' || !isFinished(read.value.head)) return;
    const { replicas = [] } = read.value.head;
    const ownReplicas = this.options.journals.replicasInOwnZone();
    const isInZone = withoutDisksOf(ownReplicas, replicas).length < ownReplicas.length;
    if (isInZone) await this.listJournaled(holder, read.value);
  }

  /** Whether no node runs the job: its writer has terminated, or gave it up. */
  private isAbandoned({ job, writer, release }: JournalHolder): boolean {
    const { journals, owned, isWriterLive, isPending } = this.options;
    if (owned.get(job) !== undefined || isPending(job)) return false;
    return release !== undefined || writer === journals.writer || !isWriterLive(writer);
  }

  private async recover(holder: JournalHolder): Promise<void> {
    const { journals, store } = this.options;
    const read = await store.head(holder.job);
    if (read.kind === 'unavailable') return;
    if (read.kind === 'absent') {
      // Only the entries in the zone name the replicas of the job.
      const claimed = await this.claim(holder.job, journals.replicasInOwnZone(), holder.term + 1);
      if (claimed !== undefined) await this.recoverOrRelease(claimed);
    } else if (isFinished(read.value.head)) await this.completeListing(holder, read.value);
    // An open job is taken over through its head, together with its journal.
  }

  /** Claims a journal; `undefined` if it is held elsewhere or its replicas do not answer. */
  private async claim(
    job: string,
    replicas: readonly ReplicaLocation[],
    term: number,
  ): Promise<ClaimedJournal | undefined> {
    const isAbandoned = async (holder: JournalHolder): Promise<boolean> => this.isAbandoned(holder);
    const { journal, claim } = await this.claims.claim(job, replicas, term, isAbandoned);
    if (claim.kind === 'disks-gone') return { journal, entries: [] };
    if (claim.kind === 'claimed') return { journal, entries: claim.entries };
    // Some replicas may have granted the claim.
    void journal.releaseClaim(MAY_BE_STORED);
    return undefined;
  }

  /** Lists journaled results of a finished job, and removes entries that are not its results. */
  private async completeListing(holder: JournalHolder, found: VersionedHead): Promise<void> {
    const ownReplicas = this.options.journals.replicasInOwnZone();
    const others = withoutDisksOf(ownReplicas, found.head.replicas ?? []);
    if (others.length < ownReplicas.length && !(await this.listJournaled(holder, found))) return;
    if (others.length > 0) await this.discardOthers(holder.job, others, termAbove(holder, found));
  }

  /**
   * Lists journaled results of a job that was cancelled in the store before it had them; returns
   * whether the store has all of them.
   */
  private async listJournaled(holder: JournalHolder, found: VersionedHead): Promise<boolean> {
    const { log } = this.options;
    const { job } = holder;
    const { replicas = [], pages, listed, total } = found.head;
    const claimed = await this.claim(job, replicas, termAbove(holder, found));
    if (claimed === undefined) return false;
    const { journal, entries } = claimed;
    const changes = listed < total ? listableChanges(log, job, entries, pages) : [];
    const journaled = changes.filter(({ kind }) => kind === 'page').length;
    if (journaled > 0) {
      const current = await this.writeBack.commit(job, found, changes, () => false);
      if (current === undefined) {
        void journal.releaseClaim(MAY_BE_STORED);
        return false;
      }
      log.state('job-listing-completed', { job, journaled });
    }
    await journal.release(entries);
    return true;
  }

  /** Removes entries in replicas that the job's head does not name: they are not its results. */
  private async discardOthers(
    job: string,
    replicas: readonly ReplicaLocation[],
    term: number,
  ): Promise<void> {
    const claimed = await this.claim(job, replicas, term);
    if (claimed === undefined || claimed.entries.length === 0) return;
    await claimed.journal.release(claimed.entries);
    const { length: entries } = claimed.entries;
    this.options.log.state('journal-entries-discarded', { job, entries });
  }

  /** Recovers a job, or releases its claims so that another node of the zone may recover it. */
  private async recoverOrRelease(zoneClaim: ClaimedJournal): Promise<void> {
    const named = zoneClaim.entries.find((entry) => entry.kind === 'created');
    if (named === undefined) return;
    const { job, term } = zoneClaim.journal;
    // Entries in replicas that the job does not name are not its results.
    const claimed = await this.claim(job, named.replicas, term);
    if (claimed !== undefined && (await this.recoverJob(claimed))) return;
    const journals = claimed === undefined ? [] : [claimed.journal];
    await Promise.all(
      [zoneClaim.journal, ...journals].map((journal) => journal.releaseClaim(MAY_BE_STORED)),
    );
  }

  /**
   * Creates a job that only the journal has, and runs it; returns whether the store has it, with
   * this node or another one as its owner.
   */
  private async recoverJob({ journal, entries }: ClaimedJournal): Promise<boolean> {
    const { owned, peers, clock, log, metrics, noteUncertain } = this.options;
    const { job } = journal;
    const created = entries.find((entry) => entry.kind === 'created');
    if (created === undefined) return false;
    const { spec, replicas, trainerTerm } = created;
    const trainer = await changeOfRecovered(this.options, spec, trainerTerm);
    if (trainer === 'unavailable') return false;
    if (trainer === 'not-accepted') {
      log.state('journaled-job-dropped', { job, step: spec.step, term: journal.term });
      await journal.release(entries);
      return false;
    }
    const ownedSince = suspendAwareTime(clock);
    const change = await this.createInStore(spec, replicas, journal.term, trainer);
    // The head may name this node as the owner, which does not run the job yet.
    if (change.kind === 'unavailable' && change.mayBeDone) noteUncertain(job);
    if (change.kind !== 'changed') return change.kind === 'superseded';
    const durable = await this.writeBack.makeDurable({ journal, entries }, change.current);
    if (durable === undefined) {
      noteUncertain(job);
      return true;
    }
    const { head, stored, journaled } = durable;
    // The store has all results of a finished job, so it is not run.
    if (!isFinished(head.head)) {
      const initialWork = owned.earlierWork(spec, {});
      owned.add(spec, head, stored, initialWork, { journal, resumed: journaled, ownedSince });
      peers.reportWeightNeed(weightNeedOf(spec));
    }
    const details = { listed: stored.length, journaled: journaled.length };
    log.state('job-recovered', { job, step: spec.step, ...details });
    metrics.count('jobs_adopted', { cause: 'journal' });
    return true;
  }

  /** Creates a journaled job in the store, owned by this node. */
  private async createInStore(
    spec: JobSpecification,
    replicas: readonly ReplicaLocation[],
    term: number,
    trainer: TrainerChange | undefined,
  ): Promise<CreationOutcome> {
    const { store, self, journals, residency, homes } = this.options;
    const { submittedAt, items, tenant } = spec;
    const head = {
      ...{ owner: self, zone: journals.zone, total: items.length, listed: 0, pages: 0 },
      ...{ ended: false, submittedAt, term, replicas: [...replicas] },
      ...(tenant === undefined ? {} : { tenant }),
      ...residency.headFieldsFor(spec),
    };
    const outcome = await store.create(spec, head, () => false, trainer);
    if (trainer !== undefined) homes.noteCreation(trainer, outcome);
    return outcome;
  }
}

/** Whether a holder has not changed since an earlier scan. */
function isSameClaim({ writer, term }: JournalHolder, earlier: JournalHolder | undefined): boolean {
  return earlier?.writer === writer && earlier.term === term;
}

/** The lowest term above a holder and the owner of a job. */
function termAbove({ term: heldTerm }: JournalHolder, { head }: VersionedHead): number {
  return Math.max(heldTerm, head.term ?? 0) + 1;
}

/** Replicas that have none of the disks of `excluded`. */
function withoutDisksOf(
  replicas: readonly ReplicaLocation[],
  excluded: readonly ReplicaLocation[],
): ReplicaLocation[] {
  const disks = new Set(excluded.map(({ disk }) => disk));
  return replicas.filter(({ disk }) => !disks.has(disk));
}
