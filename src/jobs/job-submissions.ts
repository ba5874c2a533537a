/**
 * Takes jobs in: stores them, and starts their items early where the store is slow. What has begun
 * to run is never refused as if it had not.
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
  /** Where zones serve their own callers: what takes jobs in while the store is silent. */
  readonly journals?: ZoneJournals | undefined;
  /** Whether a life of a node that claimed a job is still live. @default all are */
  readonly isWriterLive?: (writer: string) => boolean;
  readonly residency: JobResidency;
}

/** A submission that the store has not settled yet. */
interface SubmissionUnderWay {
  readonly tenant: TenantName | undefined;
  readonly outcome: Promise<Failure | undefined>;
}

/**
 * Time for the other zones to say that they do not have a job. After a loss of all power replicas were
 * registered within 0.5 s of the first gateways' start (two plays); this is some times as much. A cut
 * of a zone lasts longer and is not waited for.
 */
const ZONES_ANSWER_LIMIT: Milliseconds = 3_000;
const ZONES_RETRY_PAUSE: Milliseconds = 200;

/** How a job is taken in. */
interface AdmittedJob {
  /** Who is to run it; `null` where this node stops and another one is to. */
  readonly owner: JobOwner | null;
  /** Its zone's journal, claimed; `undefined` where there is none. */
  readonly journal: JobJournal | undefined;
  /** Whether it follows a step that was taken in here, and so is at no other zone. */
  readonly isNextStep: boolean;
  /** Whether it was handed in where it may not lie, and so its trainer's steps are at several zones. */
  readonly isFromOutside: boolean;
}

/** A store that has not taken a job after this time no longer holds up its items. */
const EARLY_START_DELAY: Milliseconds = 100;

/** Submissions at one node. */
export class JobSubmissions {
  /** Whether this node stops: it takes jobs in, but runs none any more. */
  private isReleasing = false;
  private readonly steps = new TrainerSteps();
  /** Submissions that the store has not settled yet, by job. */
  private readonly underWay = new Map<string, SubmissionUnderWay>();

  constructor(private readonly options: JobSubmissionsOptions) {}

  /** From now on jobs are stored for other nodes to run. */
  runNoMore(): void {
    this.isReleasing = true;
  }

  /** This machine may have been suspended, and its callers served in another zone meanwhile. */
  noteSuspended(): void {
    this.steps.forget();
  }

  /**
   * Takes a job in; `undefined` means that all of it is kept from now on. One that was handed in where
   * it may not lie can be passed to any zone of its regions, and none of these takes it in alone.
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
    // While the other zones were asked, a node of this one may have taken the job in.
    if (!isNextStep && (await isLost(journal))) return this.answerAsKnown(spec);
    return this.create(spec, { owner, journal, isNextStep, isFromOutside }, wanted);
  }

  /** Makes a job in the store, or while that is silent in the zone's journal. */
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
    // What has begun to run must not be answered as if it had not.
    if (change.mayBeDone || early !== undefined) {
      return failure('outcome_unknown', 'the job may have been stored');
    }
    return failure('ledger_unavailable', 'the store takes no jobs now', {
      retryAfter: STORE_RETRY_AFTER,
    });
  }

  /**
   * The zone's journal of a new job, claimed for this node: another node of the zone that was handed
   * the same job, and does not reach the store, can then not take it in too. One that has claimed it
   * and kept nothing has told nobody that it took it in, and may have ended since; one that lives may
   * yet do so, as it waits for the store or for the other zones.
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
   * The store made a job for this node while another one of its zone claimed it, and may have told its
   * caller more: a node that takes it over by its journal goes on with that.
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
   * Whether no other zone has taken a job in that the store may not know. A caller may repeat at any
   * node what a zone has taken in by itself. Zones that do not answer are asked again for a while.
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

  /** The answer to a job that another node may have taken in: only the store tells that it has. */
  private async answerAsKnown(spec: JobSpecification): Promise<Failure | undefined> {
    const read = await this.options.store.head(spec.id);
    if (read.kind !== 'found') return TAKEN_ELSEWHERE;
    return belongsElsewhere(spec, read.value.head.tenant);
  }

  /** Keeps a job in the zone's journal until the store has it; tells whether the journal does. */
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

  /** The store has settled a job that the zone's journal keeps. */
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

  /** Runs a job's items while a slow or silent store has not taken it yet; nothing is listed. */
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

  /** What nodes of the zone kept of the items of a later step. */
  private async keptElsewhere(spec: JobSpecification): Promise<ReadonlyMap<string, DigestedWork>> {
    if (spec.step === 0) return new Map();
    return this.options.peers.cachedWork(spec.items.map((item) => item.id));
  }
}

/** Whether another node has claimed a job since this one did; a journal that is not there is not lost. */
async function isLost(journal: JobJournal | undefined): Promise<boolean> {
  return journal !== undefined && (await journal.append([])) === 'lost';
}

const NOT_IN_THIS_REGION = failure('region_unavailable', 'the job may not lie in this region');
const TAKEN_ELSEWHERE = failure('outcome_unknown', 'another node may have taken the job');

/** Refuses a job whose id names one of another tenant's, without telling that it is there. */
export function belongsElsewhere(
  spec: JobSpecification,
  tenant: TenantName | undefined,
): Failure | undefined {
  if (tenant === undefined || tenant === spec.tenant) return undefined;
  return failure('not_found', 'the id is not usable');
}

/** The head of a job that its owner is to run; without one it is offered to another node. */
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
