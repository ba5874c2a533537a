/**
 * Accepts jobs: stores them, and starts their items early if the store is slow. A job whose items
 * have started is never rejected as if they had not.
 */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { JobJournal } from '../journal/job-journal.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { JobResidency } from '../placement/job-residency.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { TenantName } from '../tenants/tenant.js';
import { anyOf, ClaimReleases } from './claim-releases.js';
import type { DigestedWork } from './item-work-cache.js';
import {
  type Acceptance,
  JobAcceptance,
  MAY_BE_ACCEPTED_ELSEWHERE,
  type SubmittedJob,
  tenantConflict,
} from './job-acceptance.js';
import { JobCreation } from './job-creation.js';
import type { JobPeers } from './job-peers.js';
import {
  ageOf,
  isFinished,
  type JobOwner,
  type JobSpecification,
  weightNeedOf,
} from './job-records.js';
import type {
  CreationOutcome,
  HeadFields,
  JobStore,
  StillNeeded,
  VersionedHead,
} from './job-store.js';
import type { JournalState } from './listing-state.js';
import { hasLostClaim } from './new-job-claim.js';
import type { OwnedJob } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';
import { STORE_RETRY_AFTER } from './store-reads.js';
import { TrainerCreations } from './trainer-creations.js';
import type { TrainerHomes } from './trainer-homes.js';

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
  /** Rights to accept the jobs of trainers; `undefined` where zones keep no journals. */
  readonly homes: TrainerHomes | undefined;
  /** Whether the node incarnation that claimed a job is live. @default all are */
  readonly isWriterLive?: (writer: string) => boolean;
  readonly residency: JobResidency;
  /** Time after its submission for which a job stays readable. */
  readonly retention: () => Milliseconds;
  /** Called if the store may still create the job, with this node as its owner. */
  readonly noteUncertain: (job: string) => void;
  /** Whether no build without trainer records may be running. @default none is */
  readonly areTrainerRecordsUsedByAll?: () => boolean;
}

/** A submission whose outcome is pending. */
interface PendingSubmission {
  readonly tenant: TenantName | undefined;
  readonly outcome: Promise<Failure | undefined>;
}

/** The journal of a new job, and when its creation was sent, by `suspendAwareTime`. */
type CreationState = JournalState & { readonly ownedSince: Milliseconds };

/** Outcome of an attempt; `retry` if another node changed the trainer's record first. */
type AttemptOutcome = Failure | undefined | 'retry';

/** Time after which items start although the store has not accepted their job. */
const EARLY_START_DELAY: Milliseconds = 100;

/** Date of an ownership that nothing has confirmed. */
const NEVER: Milliseconds = Number.NEGATIVE_INFINITY;

/** Accepts submitted jobs on this node. */
export class JobSubmissions {
  /** Whether this node is stopping: it accepts jobs only for other nodes to run. */
  private isReleasing = false;
  private readonly acceptance: JobAcceptance;
  private readonly releases: ClaimReleases;
  private readonly creations: TrainerCreations;
  /** Pending submissions by job id, so that a repeated submission shares the outcome. */
  private readonly pending = new Map<string, PendingSubmission>();

  constructor(private readonly options: JobSubmissionsOptions) {
    this.releases = new ClaimReleases(options);
    this.acceptance = new JobAcceptance({ ...options, releases: this.releases });
    this.creations = new TrainerCreations(options.clock);
  }

  /** Whether a submission of the job is being processed. */
  isPending(job: string): boolean {
    return this.pending.has(job);
  }

  /** The store is certain not to have a job, nor to create it late. */
  noteAbsent(job: string): void {
    if (!this.pending.has(job)) this.releases.noteAbsent(job);
  }

  /** Retries releases of claims that replicas have not answered. */
  tick(now: Milliseconds): void {
    this.releases.tick(now);
  }

  /** Stores jobs only for other nodes to run from now on. */
  stopRunningJobs(): void {
    this.isReleasing = true;
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
    const claimAndCreate = (): Promise<Failure | undefined> =>
      this.claimAndCreate(spec, isStillNeeded, isFromOutside);
    const hasRecord = this.options.homes !== undefined;
    const submission = hasRecord ? this.creations.run(spec, claimAndCreate) : claimAndCreate();
    this.pending.set(spec.id, { tenant: spec.tenant, outcome: submission });
    return submission.finally(() => this.pending.delete(spec.id));
  }

  private async claimAndCreate(
    spec: JobSpecification,
    isStillNeeded: StillNeeded,
    isFromOutside: boolean,
  ): Promise<Failure | undefined> {
    for (let isRetry = false; ; isRetry = true) {
      const owner = this.isReleasing ? null : this.options.self;
      const submitted = { spec, owner, isFromOutside };
      // The items may have started in an earlier attempt, which must not be reported as not run.
      const earlier = { mayBeStored: false, mayHaveRun: isRetry };
      const prepared = await this.acceptance.prepare(submitted, isStillNeeded);
      if ('answer' in prepared) {
        if (prepared.answer === undefined) this.releases.forget(spec.id);
        else this.releases.release(spec.id, earlier);
        return prepared.answer;
      }
      const acceptance = { ...prepared, ...anyOf([prepared, earlier]) };
      const outcome = await this.create(submitted, acceptance, isStillNeeded);
      if (outcome === undefined) return undefined;
      if (outcome !== 'retry') return isRetry ? MAY_BE_ACCEPTED_ELSEWHERE : outcome;
      if (!isStillNeeded()) {
        this.releases.release(spec.id, { mayBeStored: acceptance.mayBeStored, mayHaveRun: true });
        return MAY_BE_ACCEPTED_ELSEWHERE;
      }
    }
  }

  /** Creates a job in the store or, while that does not answer, in the zone's journal. */
  private async create(
    { spec, isFromOutside }: SubmittedJob,
    acceptance: Acceptance,
    isStillNeeded: StillNeeded,
  ): Promise<AttemptOutcome> {
    const { store, clock, zone, journals, residency } = this.options;
    const { owner, journal, right, mayJournal } = acceptance;
    const startedAt = clock.now();
    const ownedSince = suspendAwareTime(clock);
    const cachedWork = this.cachedElsewhere(spec);
    const head = { ...firstHead(spec, owner, zone, journal), ...residency.headFieldsFor(spec) };
    const attempt = {
      store,
      homes: this.options.homes,
      clock,
      spec,
      right,
      isFromOutside,
      isStillNeeded,
    };
    const job = new JobCreation(attempt);
    const creation = job.createInStore(head);
    const state = { journal, ownedSince };
    const mayStart = owner !== null && (mayJournal || journals === undefined);
    // The job may have been cancelled before it was submitted.
    const earlyState = { journal, ownedSince: NEVER };
    const early = mayStart
      ? await this.startEarly(spec, creation, cachedWork, earlyState)
      : undefined;
    if (early !== undefined && journal !== undefined && (await job.acceptByJournal(journal))) {
      this.releases.forget(spec.id);
      this.noteJournaled(early, journal, right?.record.term ?? 0);
      void creation.then((change) => this.settleJournaled(early, job, state, change));
      return undefined;
    }
    const change = await creation;
    this.noteSubmitted(spec, change, clock.now() - startedAt);
    const isStored = change.kind === 'changed' || change.kind === 'superseded';
    if (isStored) void job.releaseEntry(journal);
    if (isStored) this.releases.forget(spec.id);
    if (change.kind === 'unavailable' && change.mayBeDone) this.options.noteUncertain(spec.id);
    if (change.kind !== 'changed') early?.abandon();
    else if (owner !== null && (await hasLostClaim(journal))) {
      early?.abandon();
      await this.releaseToHolder(spec, change.current, journal);
    } else if (owner === null) await this.offerReleased(spec);
    else await this.addCreated(spec, change.current, early, cachedWork, state);
    if (change.kind === 'trainer-changed') return 'retry';
    const existing = change.kind === 'superseded' ? change.current : undefined;
    if (existing !== undefined) return tenantConflict(spec, existing.head.tenant);
    if (change.kind !== 'unavailable') return undefined;
    return this.reject(spec.id, change.mayBeDone, early !== undefined, acceptance);
  }

  /** Releases the claim of a job that was not accepted, and returns the answer to its caller. */
  private reject(
    job: string,
    mayBeDone: boolean,
    hasStarted: boolean,
    { mayBeStored, mayHaveRun, mayJournal }: Acceptance,
  ): Failure {
    const doubts = {
      mayBeStored: mayBeStored || mayBeDone,
      mayHaveRun: mayHaveRun || hasStarted,
    };
    if (mayJournal && mayBeDone) this.releases.releaseOnceAbsent(job, doubts);
    else this.releases.release(job, doubts);
    // Earlier submissions count as well: what they stored or started must not be reported as not run.
    const allDoubts = this.releases.doubtsOf(job);
    if (allDoubts.mayBeStored || allDoubts.mayHaveRun) {
      return failure('outcome_unknown', 'the job may have been stored');
    }
    return failure('ledger_unavailable', 'the store takes no jobs now', {
      retryAfter: STORE_RETRY_AFTER,
    });
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

  private noteJournaled(job: OwnedJob, journal: JobJournal, trainerTerm: number): void {
    const { log, metrics, owned, peers } = this.options;
    const { spec } = job;
    owned.attachJournaled(job);
    const replicas = journal.replicas.map(({ node }) => node).join(',');
    log.state('job-journaled', {
      ...{ job: spec.id, step: spec.step, items: spec.items.length },
      ...{ term: journal.term, trainerTerm, replicas },
    });
    metrics.count('journaled_changes', { change: 'created' });
    peers.reportWeightNeed(weightNeedOf(spec));
  }

  /** Handles the store's outcome for a job that the zone's journal has accepted. */
  private settleJournaled(
    job: OwnedJob,
    creation: JobCreation,
    { journal, ownedSince }: CreationState,
    change: CreationOutcome,
  ): void {
    const { spec } = job;
    this.noteSubmitted(spec, change, ageOf(spec, this.options.clock.wallTime()));
    const current =
      change.kind === 'changed' || change.kind === 'superseded' ? change.current : undefined;
    // A creation without an answer may have been carried out before another node changed the head.
    if (current !== undefined && job.isOwn(current.head)) {
      job.attach(current, ownedSince);
      void creation.releaseEntry(journal);
      return;
    }
    this.options.log.state('journaled-job-superseded', { job: spec.id, outcome: change.kind });
    job.abandon();
  }

  /** Runs a job's items while the store has not accepted it yet; no results are listed. */
  private async startEarly(
    spec: JobSpecification,
    creation: Promise<CreationOutcome>,
    cachedWork: Promise<ReadonlyMap<string, DigestedWork>>,
    state: JournalState,
  ): Promise<OwnedJob | undefined> {
    const isSettled = await Promise.race([
      creation.then(() => true),
      this.options.clock.sleep(EARLY_START_DELAY).then(() => false),
    ]);
    if (isSettled) return undefined;
    this.options.log.state('job-started-early', { job: spec.id, step: spec.step });
    const { owned } = this.options;
    return owned.startEarly(spec, owned.earlierWork(spec, {}, await cachedWork), state);
  }

  private async addCreated(
    spec: JobSpecification,
    head: VersionedHead,
    early: OwnedJob | undefined,
    cachedWork: Promise<ReadonlyMap<string, DigestedWork>>,
    state: CreationState,
  ): Promise<void> {
    const { owned, peers } = this.options;
    const otherInstance = owned.get(spec.id);
    if (otherInstance !== undefined && otherInstance !== early && otherInstance.isActive) {
      early?.abandon();
      return;
    }
    if (early !== undefined) owned.attachEarly(early, head, state.ownedSince);
    // A job that was cancelled before its creation is not run.
    else if (isFinished(head.head)) return;
    else owned.add(spec, head, [], owned.earlierWork(spec, {}, await cachedWork), state);
    peers.reportWeightNeed(weightNeedOf(spec));
  }

  private noteSubmitted(
    spec: JobSpecification,
    change: CreationOutcome,
    duration: Milliseconds,
  ): void {
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

const REGION_DENIED = failure('region_unavailable', 'the job may not lie in this region');

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
