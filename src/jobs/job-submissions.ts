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
import type { HeadChange, HeadFields, JobStore, StillWanted, VersionedHead } from './job-store.js';
import { JOURNAL_RETRY_PAUSE } from './listing-writer.js';
import type { OwnedJob } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';
import { STORE_RETRY_AFTER } from './store-reads.js';
import { TrainerSteps } from './trainer-steps.js';

/** Options of {@link JobSubmissions}. */
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
interface SubmissionUnderWay {
  readonly tenant: TenantName | undefined;
  readonly outcome: Promise<Failure | undefined>;
}

/**
 * Time for the other zones to confirm that they do not have a job. Long enough for journal replicas
 * to register after a full restart; a zone partition is not waited out.
 */
const ZONES_ANSWER_LIMIT: Milliseconds = 3_000;
const ZONES_RETRY_PAUSE: Milliseconds = 200;

/** Conditions under which a job is accepted. */
interface AdmittedJob {
  /** The future owner; `null` if this node is stopping and another one must take the job. */
  readonly owner: JobOwner | null;
  /** The zone's journal, claimed for this job; `undefined` if there is none. */
  readonly journal: JobJournal | undefined;
  /** Whether the job follows a step that this node accepted, and so is in no other zone. */
  readonly isNextStep: boolean;
  /** Whether it was submitted in a region that may not store it; several zones may get its steps. */
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
  private readonly underWay = new Map<string, SubmissionUnderWay>();

  constructor(private readonly options: JobSubmissionsOptions) {}

  /** Stores jobs only for other nodes to run from now on. */
  runNoMore(): void {
    this.isReleasing = true;
  }

  /** Called if this machine may have been suspended while another zone served its callers. */
  noteSuspended(): void {
    this.steps.forget();
  }

  /**
   * Accepts a job; `undefined` means that the job is durably stored. A job `isFromOutside` its allowed
   * regions may be forwarded to any zone of these, so no zone accepts it by its journal alone.
   */
  async submit(
    spec: JobSpecification,
    wanted: StillWanted,
    isFromOutside = false,
  ): Promise<Failure | undefined> {
    const own = this.options.owned.get(spec.id);
    if (own !== undefined) return belongsElsewhere(spec, own.spec.tenant);
    const known = this.underWay.get(spec.id);
    if (known !== undefined) return belongsElsewhere(spec, known.tenant) ?? known.outcome;
    const { residency } = this.options;
    if (!residency.mayHoldHere(residency.regionsForSpec(spec))) return NOT_IN_THIS_REGION;
    const submission = this.store(spec, wanted, isFromOutside);
    this.underWay.set(spec.id, { tenant: spec.tenant, outcome: submission });
    return submission.finally(() => this.underWay.delete(spec.id));
  }

  private async store(
    spec: JobSpecification,
    wanted: StillWanted,
    isFromOutside: boolean,
  ): Promise<Failure | undefined> {
    const owner = this.isReleasing ? null : this.options.self;
    const journal = owner === null ? undefined : await this.openJournal(spec.id);
    if (journal === 'held-elsewhere') return this.answerAsKnown(spec);
    const isNextStep = !isFromOutside && this.steps.isNext(spec);
    if (!isNextStep && !(await this.isUnknownToOtherZones(spec.id, wanted))) {
      return this.answerAsKnown(spec);
    }
    // Another node of this zone may have accepted the job during the queries.
    if (!isNextStep && (await isLost(journal))) return this.answerAsKnown(spec);
    return this.create(spec, { owner, journal, isNextStep, isFromOutside }, wanted);
  }

  /** Creates a job in the store or, while that does not answer, in the zone's journal. */
  private async create(
    spec: JobSpecification,
    { owner, journal, isNextStep, isFromOutside }: AdmittedJob,
    wanted: StillWanted,
  ): Promise<Failure | undefined> {
    const { store, clock, zone, journals } = this.options;
    const startedAt = clock.now();
    const kept = this.keptElsewhere(spec);
    let isJournaled = false;
    const noted = this.options.residency.headFieldsFor(spec);
    const head = { ...firstHead(spec, owner, zone, journal), ...noted };
    const creation = store.create(spec, head, () => isJournaled || wanted());
    const mayStart = owner !== null && (isNextStep || journals === undefined);
    const early = mayStart ? await this.startEarly(spec, creation, kept, journal) : undefined;
    if (early !== undefined && journal !== undefined) {
      isJournaled = await this.takeInByJournal(early, journal, creation, wanted);
      if (isJournaled) {
        void creation.then((change) => this.settleJournaled(early, journal, change));
        return undefined;
      }
    }
    const change = await creation;
    this.noteSubmitted(spec, change, clock.now() - startedAt);
    if (change.kind !== 'changed') early?.abandon();
    else if (owner !== null && (await isLost(journal))) {
      early?.abandon();
      await this.passToHolder(spec, change.current, journal);
    } else if (owner === null) await this.handOver(spec);
    else {
      if (!isFromOutside) this.steps.note(spec);
      await this.ownCreated(spec, change.current, early, kept, journal);
    }
    const present = change.kind === 'superseded' ? change.current : undefined;
    if (present !== undefined) return belongsElsewhere(spec, present.head.tenant);
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
   * Claims the zone's journal of a new job, so that no other node of the zone can accept the same job
   * without the store. A claim without entries whose writer has terminated is taken over, because that
   * writer confirmed the job to nobody; a live writer may still accept it.
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
    const next = journals.open(job, replicas, claim.holder.term + 1);
    const second = await next.claim();
    return second.kind === 'claimed' && second.entries.length === 0 ? next : claim.kind;
  }

  /**
   * Releases a job that the store created for this node although another node of the zone holds the
   * claim and may have listed results. A node that takes the job over continues from the journal.
   */
  private async passToHolder(
    { id }: JobSpecification,
    made: VersionedHead,
    journal: JobJournal | undefined,
  ): Promise<void> {
    const { store, peers, log } = this.options;
    const claim = await journal?.claim();
    const term = claim?.kind === 'held-elsewhere' ? claim.holder.term : journal?.term;
    const fields = { owner: null, ...(term === undefined ? {} : { term }) };
    const change = await store.replace(id, made, fields, () => true);
    log.state('job-passed-to-holder', { job: id, term: term ?? 0, outcome: change.kind });
    await peers.offerReleased(id);
  }

  /**
   * Whether no other zone has accepted a job that the store may not have, since callers may retry a
   * submission at any node. Zones that do not answer are queried again until a timeout.
   */
  private async isUnknownToOtherZones(job: string, wanted: StillWanted): Promise<boolean> {
    const { journals, clock } = this.options;
    if (journals === undefined) return true;
    const limit = clock.now() + ZONES_ANSWER_LIMIT;
    for (;;) {
      const sight = await journals.entryStatusInOtherZones(job);
      if (sight !== 'unsure') return sight === 'not-held';
      if (!wanted() || clock.now() >= limit) return false;
      await clock.sleep(ZONES_RETRY_PAUSE);
    }
  }

  /** Response to a job that another node may have accepted; only the store can confirm that. */
  private async answerAsKnown(spec: JobSpecification): Promise<Failure | undefined> {
    const read = await this.options.store.head(spec.id);
    if (read.kind !== 'found') return TAKEN_ELSEWHERE;
    return belongsElsewhere(spec, read.value.head.tenant);
  }

  /** Stores a job in the zone's journal until the store has it; returns whether it is journaled. */
  private async takeInByJournal(
    job: OwnedJob,
    journal: JobJournal,
    creation: Promise<HeadChange>,
    wanted: StillWanted,
  ): Promise<boolean> {
    const { clock, log, metrics, owned, peers } = this.options;
    const { spec } = job;
    let isSettled = false;
    void creation.then(() => {
      isSettled = true;
    });
    const entry = createdEntry(spec, journal);
    while (!isSettled && wanted()) {
      const outcome = await journal.append([entry]);
      if (outcome === 'lost') return false;
      if (outcome === 'kept' && !isSettled) {
        this.steps.note(spec);
        owned.keepJournaled(job);
        log.state('job-journaled', { job: spec.id, step: spec.step, items: spec.items.length });
        metrics.count('journaled_changes', { change: entry.kind });
        peers.reportWeightNeed(weightNeedOf(spec));
        return true;
      }
      if (outcome === 'kept') await journal.release([entry]);
      else await clock.sleep(JOURNAL_RETRY_PAUSE);
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
    kept: Promise<ReadonlyMap<string, DigestedWork>>,
    journal: JobJournal | undefined,
  ): Promise<OwnedJob | undefined> {
    const isSettled = await Promise.race([
      creation.then(() => true),
      this.options.clock.sleep(EARLY_START_DELAY).then(() => false),
    ]);
    if (isSettled) return undefined;
    this.options.log.state('job-started-early', { job: spec.id, step: spec.step });
    const { owned } = this.options;
    return owned.startEarly(spec, owned.keptWork(spec, {}, await kept), { journal });
  }

  private async ownCreated(
    spec: JobSpecification,
    head: VersionedHead,
    early: OwnedJob | undefined,
    kept: Promise<ReadonlyMap<string, DigestedWork>>,
    journal: JobJournal | undefined,
  ): Promise<void> {
    const { owned, peers } = this.options;
    if (early !== undefined) owned.keepEarly(early, head);
    else owned.own(spec, head, [], owned.keptWork(spec, {}, await kept), { journal });
    peers.reportWeightNeed(weightNeedOf(spec));
  }

  private noteSubmitted(spec: JobSpecification, change: HeadChange, took: Milliseconds): void {
    const { log, metrics } = this.options;
    const { id: job, step, items } = spec;
    const details = { job, step, items: items.length, tookMs: Math.round(took) };
    log.decision('job-submitted', { ...details, outcome: change.kind });
    metrics.count('jobs_submitted', { outcome: change.kind });
    metrics.observe('submit_seconds', {}, took);
  }

  private handOver(spec: JobSpecification): Promise<void> {
    const { peers, residency } = this.options;
    return peers.offerReleased(spec.id, residency.regionsForSpec(spec));
  }

  /** Work that other nodes have cached on the items; a trainer's first step has none. */
  private async keptElsewhere(spec: JobSpecification): Promise<ReadonlyMap<string, DigestedWork>> {
    if (spec.step === 0) return new Map();
    return this.options.peers.cachedWork(spec.items.map((item) => item.id));
  }
}

/** Whether another node has claimed the job since; false without a journal. */
async function isLost(journal: JobJournal | undefined): Promise<boolean> {
  return journal !== undefined && (await journal.append([])) === 'lost';
}

const NOT_IN_THIS_REGION = failure('region_unavailable', 'the job may not lie in this region');
const TAKEN_ELSEWHERE = failure('outcome_unknown', 'another node may have taken the job');

/** Rejects a job whose id another tenant uses, without revealing that job. */
export function belongsElsewhere(
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
  const whose = tenant === undefined ? head : { ...head, tenant };
  if (journal === undefined) return whose;
  return { ...whose, term: journal.term, replicas: [...journal.replicas] };
}

function createdEntry(spec: JobSpecification, journal: JobJournal): JournalEntry {
  return { kind: 'created', spec, replicas: [...journal.replicas] };
}
