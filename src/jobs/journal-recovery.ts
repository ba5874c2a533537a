/**
 * Recovers journal entries whose owner has terminated: jobs that were accepted while the store was
 * unreachable, and results of jobs that were cancelled in the store before it had them. Open jobs
 * in the store are taken over through their heads instead.
 */
import type { Milliseconds } from '../core/units.js';
import type { JobJournal } from '../journal/job-journal.js';
import type { JournalEntry, JournalHolder } from '../journal/journal-entries.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { JobResidency } from '../placement/job-residency.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { JobPeers } from './job-peers.js';
import { isFinished, type JobOwner, weightNeedOf } from './job-records.js';
import type { JobStore, VersionedHead } from './job-store.js';
import { changesAfter } from './job-transfer.js';
import type { OwnedJobs } from './owned-jobs.js';
import type { TrainerHomes } from './trainer-homes.js';

/** Interval between scans, which find only jobs and results that the store does not have. */
const SCAN_INTERVAL: Milliseconds = 3_000;

export interface JournalRecoveryOptions {
  readonly journals: ZoneJournals;
  readonly store: JobStore;
  readonly owned: OwnedJobs;
  readonly residency: JobResidency;
  readonly peers: JobPeers;
  readonly self: JobOwner;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  /** Whether the node incarnation that wrote to the journal is live. */
  readonly isWriterLive: (writer: string) => boolean;
  /** Whether this node runs jobs and reaches the store. */
  readonly canRecover: () => boolean;
  /** Rights of this zone to accept the jobs of trainers. */
  readonly homes: TrainerHomes;
  /** Whether this node is processing a submission of the job. */
  readonly isPending: (job: string) => boolean;
}

/** Scans the zone's journals for jobs without a live owner. */
export class JournalRecovery {
  private isScanning = false;
  private nextScanAt: Milliseconds = 0;

  constructor(private readonly options: JournalRecoveryOptions) {}

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
    for (const holder of await this.options.journals.unsyncedHolders()) {
      if (this.isAbandoned(holder)) await this.recover(holder);
    }
  }

  /** Whether no node runs the job: its writer has terminated, or is this node and gave it up. */
  private isAbandoned({ job, writer }: JournalHolder): boolean {
    const { journals, owned, isWriterLive, isPending } = this.options;
    if (owned.get(job) !== undefined || isPending(job)) return false;
    return writer === journals.writer || !isWriterLive(writer);
  }

  private async recover(holder: JournalHolder): Promise<void> {
    const { journals, store } = this.options;
    const read = await store.head(holder.job);
    if (read.kind === 'unavailable') return;
    const head = read.kind === 'found' ? read.value.head : undefined;
    // An open job is taken over through its head, together with its journal.
    if (head !== undefined && !isFinished(head)) return;
    const journal = journals.open(holder.job, journals.replicasInOwnZone(), holder.term + 1);
    const claim = await journal.claim();
    if (claim.kind !== 'claimed') return;
    if (read.kind === 'found') await this.completeListing(journal, claim.entries, read.value);
    else await this.recoverJob(journal, claim.entries);
  }

  /** Lists journaled results of a job that was cancelled in the store before it had them. */
  private async completeListing(
    journal: JobJournal,
    entries: readonly JournalEntry[],
    found: VersionedHead,
  ): Promise<void> {
    const { store, journals, log } = this.options;
    const { replicas = [], pages: stored } = found.head;
    const ownDisks = new Set(journals.replicasInOwnZone().map(({ disk }) => disk));
    // Entries in replicas that the job's head does not name are not results of the job.
    const isOfJob = replicas.some(({ disk }) => ownDisks.has(disk));
    const changes = isOfJob ? changesAfter(entries, stored) : [];
    const pages = changes.flatMap((change) => (change.kind === 'page' ? [change.results] : []));
    if (pages.length > 0) {
      const extension = { pages, ended: true };
      const { job } = journal;
      const change = await store.extend(job, found, extension, undefined, () => false);
      if (change.kind !== 'changed') return;
      log.state('job-listing-completed', { job, journaled: pages.length });
    }
    await journal.release(entries);
  }

  private async recoverJob(journal: JobJournal, entries: readonly JournalEntry[]): Promise<void> {
    const { store, owned, peers, self, log, metrics, journals, homes } = this.options;
    const created = entries.find((entry) => entry.kind === 'created');
    if (created === undefined) return;
    const { spec, replicas, trainerTerm } = created;
    const trainer = await homes.changeForRecovered(spec, trainerTerm);
    if (trainer === 'unavailable') return;
    if (trainer === 'not-accepted') {
      log.state('journaled-job-dropped', { job: spec.id, step: spec.step, term: journal.term });
      await journal.release(entries);
      return;
    }
    const { submittedAt, items, tenant } = spec;
    const head = {
      ...{ owner: self, zone: journals.zone, total: items.length, listed: 0, pages: 0 },
      ...{ ended: false, submittedAt, term: journal.term, replicas },
      ...(tenant === undefined ? {} : { tenant }),
      ...this.options.residency.headFieldsFor(spec),
    };
    const change = await store.create(spec, head, () => false, trainer);
    if (trainer !== undefined) homes.noteCreation(trainer, change);
    if (change.kind !== 'changed') return;
    const resumed = changesAfter(entries, 0);
    const initialWork = owned.earlierWork(spec, {});
    owned.add(spec, change.current, [], initialWork, {
      journal: journals.open(spec.id, replicas, journal.term),
      resumed,
    });
    await journal.release([created]);
    peers.reportWeightNeed(weightNeedOf(spec));
    log.state('job-recovered', { job: spec.id, step: spec.step, journaled: resumed.length });
    metrics.count('jobs_adopted', { cause: 'journal' });
  }
}
