/** Claims journals of jobs whose owner has terminated, past claims that were not followed up. */
import type { ClaimOutcome, JobJournal } from '../journal/job-journal.js';
import type { JournalEntry, JournalHolder } from '../journal/journal-entries.js';
import type { ReplicaLocation } from '../journal/replica-location.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { JobOwner } from './job-records.js';

/** Claims of one takeover or recovery, each under a higher term than the last. */
const MAX_CLAIM_ATTEMPTS = 3;

export interface JournalClaimsOptions {
  readonly journals: ZoneJournals;
  readonly log: DecisionLog;
}

/** A journal that only this node may write to, and its entries. */
export interface ClaimedJournal {
  readonly journal: JobJournal;
  readonly entries: readonly JournalEntry[];
}

/** The journal of the last attempt and the outcome of its claim. */
export interface ClaimAttempt {
  readonly journal: JobJournal;
  readonly claim: ClaimOutcome;
}

/** Claims the journals of jobs on the replicas that they have. */
export class JournalClaims {
  constructor(private readonly options: JournalClaimsOptions) {}

  /**
   * Claims a journal under a term. If another node holds it under the same or a higher term and has
   * abandoned its claim, it is claimed under the next higher term, a limited number of times.
   */
  async claim(
    job: string,
    replicas: readonly ReplicaLocation[],
    term: number,
    isAbandoned: (holder: JournalHolder) => Promise<boolean>,
  ): Promise<ClaimAttempt> {
    const { journals, log } = this.options;
    let nextTerm = term;
    for (let attempt = 1; ; attempt += 1) {
      const journal = journals.open(job, replicas, nextTerm);
      const claim = await journal.claim();
      this.logClaim(journal, claim);
      if (claim.kind !== 'held-elsewhere' || attempt === MAX_CLAIM_ATTEMPTS)
        return { journal, claim };
      const { holder } = claim;
      if (!(await isAbandoned(holder))) return { journal, claim };
      const details = { job, attempt, term: nextTerm, holderTerm: holder.term };
      log.state('journal-claim-abandoned', { ...details, holder: holder.writer });
      nextTerm = holder.term + 1;
    }
  }

  private logClaim({ job, term, claimTally }: JobJournal, claim: ClaimOutcome): void {
    const entries = claim.kind === 'claimed' ? claim.entries.length : 0;
    const details = { job, term, outcome: claim.kind, ...claimTally, entries };
    this.options.log.state('journal-claimed', details);
  }
}

/** The name under which a node incarnation writes to journals. */
export function writerOf({ node, incarnation }: JobOwner): string {
  return `${node}/${incarnation}`;
}
