/**
 * Accepts jobs: stores them, and starts their items early if the store is slow. A job whose items
 * have started is never rejected as if they had not.
 */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { JobJournal } from '../journal/job-journal.js';
import type { JournalEntry } from '../journal/journal-entries.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { JobResidency } from '../placement/job-residency.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { TenantName } from '../tenants/tenant.js';
import type { DigestedWork } from './item-work-cache.js';
import type { JobPeers } from './job-peers.js';
import { ageOf, type JobOwner, type JobSpecification, weightNeedOf } from './job-records.js';
import type { HeadChange, HeadFields, JobStore, StillNeeded, VersionedHead } from './job-store.js';
import { JOURNAL_RETRY_DELAY } from './listing-writer.js';
import type { OwnedJob } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';
import { STORE_RETRY_AFTER } from './store-reads.js';
import { TrainerSteps } from './trainer-steps.js';

export interface JobSubmissionsOptions {
  readonly store: JobStore;
  readonly owned: OwnedJobs;
  readonly peers: JobPeers;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly self: JobOwner;
  /** The zone of this node. */
  readonly zone: ZoneName;
  /** The zones' journals, which accept jobs while the store does not answer. */
  readonly journals?: ZoneJournals | undefined;
  /** Whether the node incarnation that claimed a job is live. @default all are */
  readonly isWriterLive?: (writer: string) => boolean;
  readonly residency: JobResidency;
}

/** A submission whose outcome is pending. */
interface PendingSubmission {
  readonly tenant: TenantName | undefined;
  readonly outcome: Promise<Failure | undefined>;
}

/**
 * Time for the other zones to confirm that they do not have a job. Long enough for journal replicas
 * to register after a full restart; a zone partition is not waited out.
 */
const ZONE_QUERY_TIMEOUT: Milliseconds = 3_000;
const ZONE_QUERY_RETRY_DELAY: Milliseconds = 200;

/** Conditions under which a job is accepted. */
interface Acceptance {
  /** The future owner; `null` if this node is stopping and another one must take the job. */
  readonly owner: JobOwner | null;
  /** The zone's journal, claimed for this job; `undefined` if there is none. */
  readonly journal: JobJournal | undefined;
  /** Whether the job follows a step that this node accepted, and so is in no other zone. */
  readonly isNextStep: boolean;
  /**
   * Whether it was submitted in a region that may not store it; several zones may get its steps.
   */
  readonly isFromOutside: boolean;
}

/** Time after which items start although the store has not accepted their job. */
const EARLY_START_DELAY: Milliseconds = 100;

/** Accepts submitted jobs on this node. */
export class JobSubmissions {
  /** Whether this node is stopping: it accepts jobs only for other nodes to run. */
  private isReleasing = false;
  private readonly steps = new TrainerSteps();
  /** Pending submissions by job id, so that a repeated submission shares the outcome. */
  private readonly pending = new Map<string, PendingSubmission>();

  constructor(private readonly options: JobSubmissionsOptions) {}

  /** Stores jobs only for other nodes to run from now on. */
  stopRunningJobs(): void {
    this.isReleasing = true;
  }

  /** Called if this machine may have been suspended while another zone served its callers. */
  noteSuspended(): void {
    this.steps.clear();
  }

  /**
   * Accepts a job; `undefined` means that the job is durably stored. A job `isFromOutside` its
   * allowed regions may be forwarded to any zone of these, so no zone accepts it by its journal
   * alone.
   */
  async submit(
    spec: JobSpecification,
    isStillNeeded: StillNeeded,
    isFromOutside = false,
  ): Promise<Failure | undefined> {
    const ownedJob = this.options.owned.get(spec.id);
    if (ownedJob !== undefined) return tenantConflict(spec, ownedJob.spec.tenant);
    const earlier = this.pending.get(spec.id);
    if (earlier !== undefined) return tenantConflict(spec, earlier.tenant) ?? earlier.outcome;
    const { residency } = this.options;
    if (!residency.mayHoldHere(residency.regionsForSpec(spec))) return REGION_DENIED;
    const submission = this.claimAndCreate(spec, isStillNeeded, isFromOutside);
    this.pending.set(spec.id, { tenant: spec.tenant, outcome: submission });
    return submission.finally(() => this.pending.delete(spec.id));
  }

  private async claimAndCreate(
    spec: JobSpecification,
    isStillNeeded: StillNeeded,
    isFromOutside: boolean,
  ): Promise<Failure | undefined> {
    const owner = this.isReleasing ? null : this.options.self;
    const journal = owner === null ? undefined : await this.openJournal(spec.id);
    if (journal === 'held-elsewhere') return this.answerFromStore(spec);
    const isNextStep = !isFromOutside && this.steps.isNext(spec);
    if (!isNextStep && !(await this.isAbsentInOtherZones(spec.id, isStillNeeded))) {
      return this.answerFromStore(spec);
    }
    // Another node of this zone may have accepted the job during the queries.
    if (!isNextStep && (await hasLostClaim(journal))) return this.answerFromStore(spec);
    return this.create(spec, { owner, journal, isNextStep, isFromOutside }, isStillNeeded);
  }

  /** Creates a job in the store or, while that does not answer, in the zone's journal. */
  private async create(
    spec: JobSpecification,
    { owner, journal, isNextStep, isFromOutside }: Acceptance,
    isStillNeeded: StillNeeded,
  ): Promise<Failure | undefined> {
    const { store, clock, zone, journals } = this.options;
    const startedAt = clock.now();
    const cachedWork = this.cachedElsewhere(spec);
    let isJournaled = false;
    const residencyFields = this.options.residency.headFieldsFor(spec);
    const head = { ...firstHead(spec, owner, zone, journal), ...residencyFields };
    const creation = store.create(spec, head, () => isJournaled || isStillNeeded());
    const mayStart = owner !== null && (isNextStep || journals === undefined);
    const early = mayStart ? await this.startEarly(spec, creation, cachedWork, journal) : undefined;
    if (early !== undefined && journal !== undefined) {
      isJournaled = await this.acceptByJournal(early, journal, creation, isStillNeeded);
      if (isJournaled) {
        void creation.then((change) => this.settleJournaled(early, journal, change));
        return undefined;
      }
    }
    const change = await creation;
    this.noteSubmitted(spec, change, clock.now() - startedAt);
    if (change.kind !== 'changed') early?.abandon();
    else if (owner !== null && (await hasLostClaim(journal))) {
      early?.abandon();
      await this.releaseToHolder(spec, change.current, journal);
    } else if (owner === null) await this.offerReleased(spec);
    else {
      if (!isFromOutside) this.steps.record(spec);
      await this.addCreated(spec, change.current, early, cachedWork, journal);
    }
    const existing = change.kind === 'superseded' ? change.current : undefined;
    if (existing !== undefined) return tenantConflict(spec, existing.head.tenant);
    if (change.kind !== 'unavailable') return undefined;
    // A job whose items have started must not be reported as not run.
    if (change.mayBeDone || early !== undefined) {
      return failure('outcome_unknown', 'the job may have been stored');
    }
    return failure('ledger_unavailable', 'the store takes no jobs now', {
      retryAfter: STORE_RETRY_AFTER,
    });
  }

  /**
   * Claims the zone's journal of a new job, so that no other node of the zone can accept the same
   * job without the store. A claim without entries whose writer has terminated is taken over,
   * because that writer has confirmed the job to no caller; a live writer may still accept it.
   */
  private async openJournal(job: string): Promise<JobJournal | 'held-elsewhere' | undefined> {
    const { journals, isWriterLive = () => true } = this.options;
    const journal = journals?.openNew(job);
    if (journals === undefined || journal === undefined) return undefined;
    const claim = await journal.claim();
    if (claim.kind !== 'held-elsewhere') return claim.kind === 'claimed' ? journal : undefined;
    const { replicas } = journal;
    if (isWriterLive(claim.holder.writer)) return claim.kind;
    if ((await journals.entryStatus(job, replicas)) !== 'not-held') return claim.kind;
    const nextJournal = journals.open(job, replicas, claim.holder.term + 1);
    const secondClaim = await nextJournal.claim();
    return secondClaim.kind === 'claimed' && secondClaim.entries.length === 0
      ? nextJournal
      : claim.kind;
  }

  /**
   * Releases a job that the store created for this node although another node of the zone holds the
   * claim and may have listed results. A node that takes the job over continues from the journal.
   */
  private async releaseToHolder(
    { id }: JobSpecification,
    created: VersionedHead,
    journal: JobJournal | undefined,
  ): Promise<void> {
    const { store, peers, log } = this.options;
    const claim = await journal?.claim();
    const term = claim?.kind === 'held-elsewhere' ? claim.holder.term : journal?.term;
    const fields = { owner: null, ...(term === undefined ? {} : { term }) };
    const change = await store.replace(id, created, fields, () => true);
    log.state('job-passed-to-holder', { job: id, term: term ?? 0, outcome: change.kind });
    await peers.offerReleased(id);
  }

  /**
   * Whether no other zone has accepted a job that the store may not have, since callers may retry a
   * submission at any node. Zones that do not answer are queried again until a timeout.
   */
  private async isAbsentInOtherZones(job: string, isStillNeeded: StillNeeded): Promise<boolean> {
    const { journals, clock } = this.options;
    if (journals === undefined) return true;
    const limit = clock.now() + ZONE_QUERY_TIMEOUT;
    for (;;) {
      const status = await journals.entryStatusInOtherZones(job);
      if (status !== 'unsure') return status === 'not-held';
      if (!isStillNeeded() || clock.now() >= limit) return false;
      await clock.sleep(ZONE_QUERY_RETRY_DELAY);
    }
  }

  /** Response to a job that another node may have accepted; only the store can confirm that. */
  private async answerFromStore(spec: JobSpecification): Promise<Failure | undefined> {
    const read = await this.options.store.head(spec.id);
    if (read.kind !== 'found') return MAY_BE_ACCEPTED_ELSEWHERE;
    return tenantConflict(spec, read.value.head.tenant);
  }

  /** Stores a job in the zone's journal until the store has it; returns whether it is journaled. */
  private async acceptByJournal(
    job: OwnedJob,
    journal: JobJournal,
    creation: Promise<HeadChange>,
    isStillNeeded: StillNeeded,
  ): Promise<boolean> {
    const { clock, log, metrics, owned, peers } = this.options;
    const { spec } = job;
    let isSettled = false;
    void creation.then(() => {
      isSettled = true;
    });
    const entry = createdEntry(spec, journal);
    while (!isSettled && isStillNeeded()) {
      const outcome = await journal.append([entry]);
      if (outcome === 'lost') return false;
      if (outcome === 'kept' && !isSettled) {
        this.steps.record(spec);
        owned.attachJournaled(job);
        log.state('job-journaled', { job: spec.id, step: spec.step, items: spec.items.length });
        metrics.count('journaled_changes', { change: entry.kind });
        peers.reportWeightNeed(weightNeedOf(spec));
        return true;
      }
      if (outcome === 'kept') await journal.release([entry]);
      else await clock.sleep(JOURNAL_RETRY_DELAY);
    }
    return false;
  }

  /** Handles the store's outcome for a job that the zone's journal has accepted. */
  private settleJournaled(job: OwnedJob, journal: JobJournal, change: HeadChange): void {
    const { spec } = job;
    this.noteSubmitted(spec, change, ageOf(spec, this.options.clock.wallTime()));
    if (change.kind === 'changed') {
      job.attach(change.current);
      void journal.release([createdEntry(spec, journal)]);
      return;
    }
    this.options.log.state('journaled-job-superseded', { job: spec.id, outcome: change.kind });
    job.abandon();
  }

  /** Runs a job's items while the store has not accepted it yet; no results are listed. */
  private async startEarly(
    spec: JobSpecification,
    creation: Promise<HeadChange>,
    cachedWork: Promise<ReadonlyMap<string, DigestedWork>>,
    journal: JobJournal | undefined,
  ): Promise<OwnedJob | undefined> {
    const isSettled = await Promise.race([
      creation.then(() => true),
      this.options.clock.sleep(EARLY_START_DELAY).then(() => false),
    ]);
    if (isSettled) return undefined;
    this.options.log.state('job-started-early', { job: spec.id, step: spec.step });
    const { owned } = this.options;
    return owned.startEarly(spec, owned.earlierWork(spec, {}, await cachedWork), { journal });
  }

  private async addCreated(
    spec: JobSpecification,
    head: VersionedHead,
    early: OwnedJob | undefined,
    cachedWork: Promise<ReadonlyMap<string, DigestedWork>>,
    journal: JobJournal | undefined,
  ): Promise<void> {
    const { owned, peers } = this.options;
    if (early !== undefined) owned.attachEarly(early, head);
    else owned.add(spec, head, [], owned.earlierWork(spec, {}, await cachedWork), { journal });
    peers.reportWeightNeed(weightNeedOf(spec));
  }

  private noteSubmitted(spec: JobSpecification, change: HeadChange, duration: Milliseconds): void {
    const { log, metrics } = this.options;
    const { id: job, step, items } = spec;
    const details = { job, step, items: items.length, tookMs: Math.round(duration) };
    log.decision('job-submitted', { ...details, outcome: change.kind });
    metrics.count('jobs_submitted', { outcome: change.kind });
    metrics.observe('submit_seconds', {}, duration);
  }

  private offerReleased(spec: JobSpecification): Promise<void> {
    const { peers, residency } = this.options;
    return peers.offerReleased(spec.id, residency.regionsForSpec(spec));
  }

  /** Work that other nodes have cached on the items; a trainer's first step has none. */
  private async cachedElsewhere(
    spec: JobSpecification,
  ): Promise<ReadonlyMap<string, DigestedWork>> {
    if (spec.step === 0) return new Map();
    return this.options.peers.cachedWork(spec.items.map((item) => item.id));
  }
}

/** Whether another node has claimed the job since; false without a journal. */
async function hasLostClaim(journal: JobJournal | undefined): Promise<boolean> {
  return journal !== undefined && (await journal.append([])) === 'lost';
}

const REGION_DENIED = failure('region_unavailable', 'the job may not lie in this region');
const MAY_BE_ACCEPTED_ELSEWHERE = failure('outcome_unknown', 'another node may have taken the job');

/** Rejects a job whose id another tenant uses, without revealing that job. */
export function tenantConflict(
  spec: JobSpecification,
  tenant: TenantName | undefined,
): Failure | undefined {
  if (tenant === undefined || tenant === spec.tenant) return undefined;
  return failure('not_found', 'the id is not usable');
}

/** The head of a new job; without an owner, the job is offered to another node. */
function firstHead(
  spec: JobSpecification,
  owner: JobOwner | null,
  zone: ZoneName,
  journal: JobJournal | undefined,
): HeadFields {
  const { submittedAt, items, tenant } = spec;
  const head = { owner, zone, total: items.length, listed: 0, pages: 0, ended: false, submittedAt };
  const headWithTenant = tenant === undefined ? head : { ...head, tenant };
  if (journal === undefined) return headWithTenant;
  return { ...headWithTenant, term: journal.term, replicas: [...journal.replicas] };
}

function createdEntry(spec: JobSpecification, journal: JobJournal): JournalEntry {
  return { kind: 'created', spec, replicas: [...journal.replicas] };
}
