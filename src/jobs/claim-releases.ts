/**
 * Releases the claims of jobs that this node did not accept, so that other nodes of its zone may
 * accept them. After a release this node writes nothing under the term of the claim, and claims the
 * job again only above it. What its submissions may have led to is remembered, also without claims.
 */
import type { Milliseconds } from '../core/units.js';
import type { JobJournal } from '../journal/job-journal.js';
import type { ClaimRelease } from '../journal/journal-entries.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

export interface ClaimReleasesOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly log: DecisionLog;
  /** Time for which replicas retain a claim, and for which its release is retried. */
  readonly retention: () => Milliseconds;
}

/** A claim that this node has released. */
export interface ReleasedClaim extends ClaimRelease {
  /** Lowest term under which this node may claim the job again. */
  readonly nextTerm: number;
}

/** Interval between attempts to release claims at replicas that have not answered. */
const RETRY_INTERVAL: Milliseconds = 1_000;

interface JobClaims {
  /** Claims that replicas may hold, also those whose answers were lost. */
  readonly journals: Set<JobJournal>;
  /** What this node's submissions of the job may have led to so far. */
  doubts: ClaimRelease;
  released: ReleasedClaim | undefined;
  /** Whether the claims are released only once the store is certain not to have the job. */
  awaitsAbsence: boolean;
  /** Whether a submission of this node uses the claims. */
  isInUse: boolean;
  expiresAt: Milliseconds;
}

/** Nothing was done under a claim. */
export const UNTOUCHED: ClaimRelease = { mayBeStored: false, mayHaveRun: false };

export class ClaimReleases {
  private readonly jobs = new Map<string, JobClaims>();
  private nextRetryAt: Milliseconds = 0;

  constructor(private readonly options: ClaimReleasesOptions) {}

  /** Notes a claim of this node before it is sent. */
  track(journal: JobJournal): void {
    const claims = this.claimsOf(journal.job);
    claims.journals.add(journal);
    claims.isInUse = true;
  }

  /** What submissions of a job at this node may have led to, though none of them was accepted. */
  doubtsOf(job: string): ClaimRelease {
    return this.jobs.get(job)?.doubts ?? UNTOUCHED;
  }

  /** Notes what earlier claims of a job may have led to; a later release passes it on. */
  noteDoubts(job: string, doubts: ClaimRelease): void {
    const claims = this.jobs.get(job);
    if (claims !== undefined) claims.doubts = anyOf([claims.doubts, doubts]);
  }

  /** The last released claim of a job; `undefined` if there is none. */
  releasedClaim(job: string): ReleasedClaim | undefined {
    return this.jobs.get(job)?.released;
  }

  /** Forgets the claims of a job that the store or the journal has accepted. */
  forget(job: string): void {
    this.jobs.delete(job);
  }

  /** Releases all claims of a job that this node has not accepted. */
  release(job: string, doubts: ClaimRelease): void {
    const claims = this.claimsOf(job);
    claims.doubts = anyOf([claims.doubts, doubts]);
    claims.isInUse = false;
    if (!claims.awaitsAbsence) this.startRelease(job, claims);
  }

  /**
   * Like {@link release}, but only once the store is certain not to have the job. Until then this
   * node may accept it by the journal under the same claim, as it recognizes its own late commit.
   */
  releaseOnceAbsent(job: string, doubts: ClaimRelease): void {
    this.claimsOf(job).awaitsAbsence = true;
    this.release(job, doubts);
  }

  /** The store does not have the job, and carries out no earlier commit of it. */
  noteAbsent(job: string): void {
    const claims = this.jobs.get(job);
    if (claims === undefined) return;
    claims.doubts = { ...claims.doubts, mayBeStored: false };
    claims.awaitsAbsence = false;
    if (!claims.isInUse) this.startRelease(job, claims);
  }

  /** Retries releases that some replicas have not answered. */
  tick(now: Milliseconds): void {
    if (now < this.nextRetryAt) return;
    this.nextRetryAt = now + RETRY_INTERVAL;
    for (const [job, claims] of this.jobs) {
      if (now >= claims.expiresAt) this.jobs.delete(job);
      else if (!claims.isInUse && !claims.awaitsAbsence) void this.send(claims);
    }
  }

  private startRelease(job: string, claims: JobClaims): void {
    if (claims.journals.size === 0) return;
    const { clock, retention, log } = this.options;
    const term = Math.max(...[...claims.journals].map((journal) => journal.term));
    claims.released = { ...claims.doubts, nextTerm: term + 1 };
    claims.expiresAt = clock.now() + retention();
    log.decision('job-claim-released', { job, term, ...claims.doubts });
    void this.send(claims);
  }

  private async send({ doubts, journals }: JobClaims): Promise<void> {
    await Promise.all(
      [...journals].map(async (journal) => {
        if (await journal.releaseClaim(doubts)) journals.delete(journal);
      }),
    );
  }

  private claimsOf(job: string): JobClaims {
    const { clock, retention } = this.options;
    const expiresAt = clock.now() + retention();
    const claims: JobClaims = this.jobs.get(job) ?? {
      ...{ journals: new Set<JobJournal>(), doubts: UNTOUCHED, released: undefined },
      ...{ awaitsAbsence: false, isInUse: true, expiresAt },
    };
    claims.expiresAt = expiresAt;
    this.jobs.set(job, claims);
    return claims;
  }
}

/** Whether any of several earlier claims may have led to a stored job, or to runs of its items. */
export function anyOf(releases: readonly ClaimRelease[]): ClaimRelease {
  return {
    mayBeStored: releases.some(({ mayBeStored }) => mayBeStored),
    mayHaveRun: releases.some(({ mayHaveRun }) => mayHaveRun),
  };
}
