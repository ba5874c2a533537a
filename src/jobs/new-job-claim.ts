/** Claims the journal of a new job, so that no other node of the zone accepts it as well. */
import type { ClaimTally, JobJournal } from '../journal/job-journal.js';
import { type ClaimRelease, isReleaseOf, type JournalHolder } from '../journal/journal-entries.js';
import type { ReplicaLocation } from '../journal/replica-location.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import { anyOf, type ClaimReleases, UNTOUCHED } from './claim-releases.js';
import type { TrainerRecord } from './trainer-record.js';

/** A journal that only this node may write to, and what became of the job before. */
export interface ClaimedJob extends ClaimRelease {
  readonly kind: 'claimed';
  /** `undefined` if the trainer of the job has no replicas. */
  readonly journal: JobJournal | undefined;
}

/**
 * `held-elsewhere`: another node of the zone may accept the job; `unanswered`: no replica with its
 * original disk answered, so another node may have accepted it.
 */
export type NewJobClaim = ClaimedJob | { readonly kind: 'held-elsewhere' | 'unanswered' };

export interface NewJobClaimsOptions {
  readonly journals: ZoneJournals;
  readonly releases: ClaimReleases;
  /** Whether the node incarnation that claimed a job is live. */
  readonly isWriterLive: (writer: string) => boolean;
}

const UNCERTAIN: ClaimRelease = { mayBeStored: true, mayHaveRun: true };

/** Claims new jobs of trainers for this node. */
export class NewJobClaims {
  constructor(private readonly options: NewJobClaimsOptions) {}

  /**
   * Claims a job at the replicas of its trainer. The term of the zone's right replaces claims under
   * earlier ones, whose holders can no longer accept the job. A claim without entries whose writer
   * has terminated or released it is taken over, because that writer has not accepted the job by
   * the journal; a live writer may still do so.
   */
  async claim(job: string, { replicas, term }: TrainerRecord): Promise<NewJobClaim> {
    const { journals, isWriterLive } = this.options;
    if (replicas.length === 0) return { kind: 'claimed', journal: undefined, ...UNTOUCHED };
    return this.claimFree(job, replicas, term, ({ writer, release }) => {
      return release !== undefined || writer === journals.writer || !isWriterLive(writer);
    });
  }

  /**
   * Claims a job at all replicas of the zone before those of its trainer, since builds without
   * trainer records choose the replicas of a job by its id.
   */
  async claimBesideOlderBuilds(job: string, record: TrainerRecord): Promise<NewJobClaim> {
    const replicas = this.options.journals.replicasInOwnZone();
    if (replicas.length === 0) return this.claim(job, record);
    const isReleased = ({ release }: JournalHolder): boolean => release !== undefined;
    const inZone = await this.claimFree(job, replicas, record.term, isReleased);
    if (inZone.kind !== 'claimed') return { kind: 'held-elsewhere' };
    const term = inZone.journal?.term ?? record.term;
    const claim = await this.claim(job, { ...record, term });
    return claim.kind === 'claimed' ? { ...claim, ...anyOf([inZone, claim]) } : claim;
  }

  /** Claims a job under a term, or above a claim without entries that `isAbandoned`. */
  private async claimFree(
    job: string,
    replicas: readonly ReplicaLocation[],
    term: number,
    isAbandoned: (holder: JournalHolder) => boolean,
  ): Promise<NewJobClaim> {
    const { journals, releases } = this.options;
    const released = releases.releasedClaim(job);
    const journal = this.openTracked(job, replicas, term);
    const claim = await journal.claim();
    const isAboveRelease = released === undefined || released.nextTerm <= term;
    // Entries found here were left by earlier attempts, none of which has accepted the job.
    if (claim.kind === 'claimed' && isAboveRelease)
      return { kind: 'claimed', journal, ...UNTOUCHED };
    if (claim.kind !== 'claimed' && claim.kind !== 'held-elsewhere') return { kind: 'unanswered' };
    const holders = claim.kind === 'claimed' ? [] : withoutReleased(claim.holders);
    const isLatest = ({ term: heldTerm }: JournalHolder): boolean => heldTerm === holders[0]?.term;
    if (!holders.filter(isLatest).every(isAbandoned)) return { kind: 'held-elsewhere' };
    const isOnlyOwn = holders.every((other) =>
      isReleaseOf(other, { ...other, writer: journals.writer }),
    );
    // Entries of this node alone were left by earlier attempts, as above.
    if (!isOnlyOwn && (await journals.entryStatus(job, replicas)) !== 'not-held') {
      return { kind: 'held-elsewhere' };
    }
    const nextTerm = Math.max(released?.nextTerm ?? term, this.termAbove(holders) ?? term);
    const nextJournal = this.openTracked(job, replicas, nextTerm);
    const nextClaim = await nextJournal.claim();
    const isFree = nextClaim.kind === 'claimed' && (isOnlyOwn || nextClaim.entries.length === 0);
    if (!isFree) return { kind: 'held-elsewhere' };
    const own = released === undefined ? [] : [released];
    const doubts = anyOf([...doubtsAfter(journal.claimTally, holders), ...own]);
    releases.noteDoubts(job, doubts);
    return { kind: 'claimed', journal: nextJournal, ...doubts };
  }

  /** Opens the journal of a job for a claim, which is released unless the job is accepted. */
  private openTracked(job: string, replicas: readonly ReplicaLocation[], term: number): JobJournal {
    const journal = this.options.journals.open(job, replicas, term);
    this.options.releases.track(journal);
    return journal;
  }

  /** The lowest term under which this node can replace all holders. */
  private termAbove([holder]: readonly JournalHolder[]): number | undefined {
    if (holder === undefined) return undefined;
    return holder.writer === this.options.journals.writer ? holder.term : holder.term + 1;
  }
}

/** What the claims may have led to that a claim found, or replaced without seeing them. */
function doubtsAfter(
  { silent, unwritable }: ClaimTally,
  holders: readonly JournalHolder[],
): ClaimRelease[] {
  const found = holders.map(({ release = UNCERTAIN }) => release);
  // A replica without an answer may have a claim as well.
  return silent + unwritable > 0 ? [...found, UNCERTAIN] : found;
}

/** Holders without those whose release another replica has. */
function withoutReleased(holders: readonly JournalHolder[]): JournalHolder[] {
  return holders.filter((holder) => !holders.some((other) => isReleaseOf(other, holder)));
}

/** Whether another node has claimed the job since; false without a journal. */
export async function hasLostClaim(journal: JobJournal | undefined): Promise<boolean> {
  return journal !== undefined && (await journal.append([])) === 'lost';
}
