/**
 * Decides whether this node may accept a submitted job: acquires its zone's right to accept the
 * trainer's jobs and claims the job within the zone.
 */
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { JobJournal } from '../journal/job-journal.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { Clock } from '../serving/clock.js';
import { ABSENT } from '../shared-store/shared-store.js';
import type { TenantName } from '../tenants/tenant.js';
import type { ClaimReleases } from './claim-releases.js';
import type { JobOwner, JobSpecification } from './job-records.js';
import type { JobStore, StillNeeded } from './job-store.js';
import { hasLostClaim, NewJobClaims } from './new-job-claim.js';
import type { AcceptanceRight, TrainerHomes } from './trainer-homes.js';

export interface JobAcceptanceOptions {
  readonly store: JobStore;
  readonly clock: Clock;
  /** The zones' journals, which accept jobs while the store does not answer. */
  readonly journals?: ZoneJournals | undefined;
  /** Rights to accept the jobs of trainers; `undefined` where zones keep no journals. */
  readonly homes: TrainerHomes | undefined;
  /** Tracks the claims that this node makes. */
  readonly releases: ClaimReleases;
  /** Whether the node incarnation that claimed a job is live. @default all are */
  readonly isWriterLive?: (writer: string) => boolean;
  /** Whether no build without trainer records may be running. @default none is */
  readonly areTrainerRecordsUsedByAll?: () => boolean;
}

/** Conditions under which a job is accepted. */
export interface Acceptance {
  /** The future owner; `null` if this node is stopping and another one must take the job. */
  readonly owner: JobOwner | null;
  /** The zone's journal, claimed for this job; `undefined` if there is none. */
  readonly journal: JobJournal | undefined;
  /** This zone's right to accept the trainer's jobs; `undefined` where zones keep no journals. */
  readonly right: AcceptanceRight | undefined;
  /** Whether the zone's journal may accept the job while the store does not answer. */
  readonly mayJournal: boolean;
  /** Whether another node may have stored the job, or may still do so. */
  readonly mayBeStored: boolean;
  /** Whether items of the job may have run at another node. */
  readonly mayHaveRun: boolean;
}

/** Answer to a submission that this node does not accept; without a failure, the job is stored. */
export interface SubmissionAnswer {
  readonly answer: Failure | undefined;
}

/** A submission whose acceptance is prepared. */
export interface SubmittedJob {
  readonly spec: JobSpecification;
  readonly owner: JobOwner | null;
  /** Whether it was submitted in a region that may not store it. */
  readonly isFromOutside: boolean;
}

/** Conditions where zones keep no journals. */
const NO_JOURNAL = {
  ...{ journal: undefined, right: undefined, mayJournal: false },
  ...{ mayBeStored: false, mayHaveRun: false },
} as const;

/**
 * Time for the other zones to confirm that they do not have a job. Long enough for journal replicas
 * to register after a full restart, which they do within 0.5 s of the first gateways' start; a zone
 * partition is not waited out.
 */
const ZONE_QUERY_TIMEOUT: Milliseconds = 3_000;
const ZONE_QUERY_RETRY_DELAY: Milliseconds = 200;

export class JobAcceptance {
  private readonly claims: NewJobClaims | undefined;

  constructor(private readonly options: JobAcceptanceOptions) {
    const { journals, releases, isWriterLive = () => true } = options;
    if (journals !== undefined) {
      this.claims = new NewJobClaims({ journals, releases, isWriterLive });
    }
  }

  /** Acquires the right to accept the job and claims it, or answers without accepting it. */
  async prepare(
    submitted: SubmittedJob,
    isStillNeeded: StillNeeded,
  ): Promise<Acceptance | SubmissionAnswer> {
    const { spec, owner, isFromOutside } = submitted;
    const { homes } = this.options;
    if (this.claims === undefined || homes === undefined) {
      return { ...NO_JOURNAL, owner };
    }
    const right = await homes.acquire(spec, isStillNeeded);
    if (right.kind === 'exists') return { answer: tenantConflict(spec, right.head.head.tenant) };
    if (right.kind !== 'held') return this.answerFromStore(spec);
    if (spec.step <= right.record.lastStep) {
      const stored = await this.answerIfStored(spec);
      if (stored !== undefined) return stored;
    }
    const claim = this.areRecordsUsedByAll
      ? await this.claims.claim(spec.id, right.record)
      : await this.claims.claimBesideOlderBuilds(spec.id, right.record);
    // The replicas may have been removed after another node moved the record to others.
    if (claim.kind === 'unanswered' && (await homes.discardIfReplaced(right))) {
      return this.prepare(submitted, isStillNeeded);
    }
    if (claim.kind !== 'claimed') return this.answerFromStore(spec);
    const { journal, mayBeStored, mayHaveRun } = claim;
    const isNextStep = !isFromOutside && !mayBeStored && homes.mayAcceptByJournal(right, spec);
    if (!isNextStep) {
      if (!(await this.isAbsentElsewhere(spec.id, right, isStillNeeded)))
        return this.answerFromStore(spec);
      // Another node of this zone may have accepted the job during the queries.
      if (await hasLostClaim(journal)) return this.answerFromStore(spec);
    }
    const mayJournal = owner !== null && isNextStep;
    return { owner, journal, right, mayJournal, mayBeStored, mayHaveRun };
  }

  /**
   * Whether no other zone has accepted the job by a journal without a record of its trainer, as
   * builds without these records do. Zones that do not answer are queried again until a timeout.
   */
  private async isAbsentElsewhere(
    job: string,
    right: AcceptanceRight,
    isStillNeeded: StillNeeded,
  ): Promise<boolean> {
    const { journals, clock } = this.options;
    const hasRecord = right.revision !== ABSENT;
    if (journals === undefined || (hasRecord && this.areRecordsUsedByAll)) return true;
    const limit = clock.now() + ZONE_QUERY_TIMEOUT;
    for (;;) {
      const status = await journals.entryStatusInOtherZones(job);
      if (status !== 'unsure') return status === 'not-held';
      if (!isStillNeeded() || clock.now() >= limit) return false;
      await clock.sleep(ZONE_QUERY_RETRY_DELAY);
    }
  }

  private get areRecordsUsedByAll(): boolean {
    return this.options.areTrainerRecordsUsedByAll?.() ?? true;
  }

  /** Response to a repeated submission; `undefined` if the store does not have the job. */
  private async answerIfStored(spec: JobSpecification): Promise<SubmissionAnswer | undefined> {
    const read = await this.options.store.head(spec.id);
    if (read.kind === 'absent') return undefined;
    if (read.kind === 'unavailable') return { answer: MAY_BE_ACCEPTED_ELSEWHERE };
    return { answer: tenantConflict(spec, read.value.head.tenant) };
  }

  /** Response to a job that another node may have accepted; only the store can confirm that. */
  private async answerFromStore(spec: JobSpecification): Promise<SubmissionAnswer> {
    return (await this.answerIfStored(spec)) ?? { answer: MAY_BE_ACCEPTED_ELSEWHERE };
  }
}

export const MAY_BE_ACCEPTED_ELSEWHERE: Failure = failure(
  'outcome_unknown',
  'another node may have taken the job',
);

/** Rejects a job whose id another tenant uses, without revealing that job. */
export function tenantConflict(
  spec: JobSpecification,
  tenant: TenantName | undefined,
): Failure | undefined {
  if (tenant === undefined || tenant === spec.tenant) return undefined;
  return failure('not_found', 'the id is not usable');
}
