/** Claims the journal of a new job, so that no other node of the zone accepts it as well. */
import type { JobJournal } from '../journal/job-journal.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { TrainerRecord } from './trainer-record.js';

/** A journal that only this node may write to. */
export interface ClaimedJob {
  readonly journal: JobJournal;
  /** Whether an earlier claimant under the same right may have stored the job in the shared store. */
  readonly mayBeStored: boolean;
}

/**
 * `held-elsewhere`: another node of the zone may accept the job; `unanswered`: no replica with its
 * original disk answered, so another node may have accepted it.
 */
export type NewJobClaim = ClaimedJob | 'held-elsewhere' | 'unanswered';

/**
 * Claims a job at the replicas of its trainer. The term of the zone's right replaces claims under
 * earlier ones, whose holders can no longer accept the job. A claim without entries whose writer has
 * terminated is taken over, because that writer has not accepted the job by the journal; a live
 * writer may still do so.
 */
export async function claimNewJob(
  journals: ZoneJournals,
  job: string,
  { replicas, term }: TrainerRecord,
  isWriterLive: (writer: string) => boolean,
): Promise<NewJobClaim> {
  const journal = journals.openNew(job, replicas, term);
  const claim = await journal?.claim();
  if (journal === undefined || claim === undefined) return 'unanswered';
  // Entries found here were left by earlier attempts, none of which has accepted the job.
  if (claim.kind === 'claimed') return { journal, mayBeStored: false };
  if (claim.kind !== 'held-elsewhere') return 'unanswered';
  const { holder } = claim;
  const isOwn = holder.writer === journals.writer;
  if (!isOwn && isWriterLive(holder.writer)) return 'held-elsewhere';
  if ((await journals.entryStatus(job, replicas)) !== 'not-held') return 'held-elsewhere';
  const nextJournal = journals.open(job, replicas, isOwn ? holder.term : holder.term + 1);
  const secondClaim = await nextJournal.claim();
  const isFree = secondClaim.kind === 'claimed' && secondClaim.entries.length === 0;
  return isFree ? { journal: nextJournal, mayBeStored: true } : 'held-elsewhere';
}

/**
 * Claims a job at all replicas of the zone, since builds without trainer records choose the replicas
 * of a job by its id; returns whether none of them has claimed it.
 */
export async function claimBesideOlderBuilds(
  journals: ZoneJournals,
  job: string,
  { term }: TrainerRecord,
): Promise<boolean> {
  const replicas = journals.replicasInOwnZone();
  if (replicas.length === 0) return true;
  const claim = await journals.open(job, replicas, term).claim();
  return claim.kind === 'claimed' && claim.entries.length === 0;
}

/** Whether another node has claimed the job since; false without a journal. */
export async function hasLostClaim(journal: JobJournal | undefined): Promise<boolean> {
  return journal !== undefined && (await journal.append([])) === 'lost';
}
