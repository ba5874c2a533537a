/**
 * Writes the journal of one job from the node that owns the job. An entry is durable once every
 * replica has synced it, so any surviving disk holds it; one replica that has granted a later owner
 * is enough to reject the earlier one.
 */
import type { Milliseconds } from '../core/units.js';
import type { PeerOutcome, PeerPort } from '../peers/peer-messages.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import {
  type ClaimRelease,
  isKnownEntry,
  type JournalEntry,
  type JournalHolder,
  type JournalRequest,
  keyOfEntry,
  latestEntries,
  type ReplicaAnswer,
  withTerm,
} from './journal-entries.js';
import type { ReplicaLocation } from './replica-location.js';

/** Covers a round trip within the zone and a disk sync that is ten times slower than usual. */
const REPLICA_ANSWER_TIMEOUT: Milliseconds = 300;

/** Replicas of one job, and the owner that writes to them. */
export interface JournalOptions {
  readonly port: PeerPort;
  readonly metrics: FleetMetrics;
  readonly replicas: readonly ReplicaLocation[];
  readonly holder: JournalHolder;
  /** Whether a replica is being drained and gets no more entries. @default none is */
  readonly isDraining?: (replica: ReplicaLocation) => boolean;
}

/**
 * Outcome of an append. `kept`: all replicas have stored the entries; `lost`: another owner writes
 * the job now; `unsure`: a replica did not answer or could not write, and a retry may succeed.
 */
export type AppendOutcome = 'kept' | 'lost' | 'unsure';

export type ClaimOutcome =
  /** Earlier owners can no longer write; carries the entries that the replicas hold. */
  | { readonly kind: 'claimed'; readonly entries: readonly JournalEntry[] }
  /** Another owner, of the same or a later term, writes the job. */
  | {
      readonly kind: 'held-elsewhere';
      /** The latest holder that a replica named. */
      readonly holder: JournalHolder;
      /** All holders that replicas named, the latest first. */
      readonly holders: readonly JournalHolder[];
    }
  /** No replica that still has its disk answered. */
  | { readonly kind: 'silent' }
  /** All replicas answered, and each of them has a new, empty disk. */
  | { readonly kind: 'disks-gone' };

/** Number of replicas by their answer to a claim. */
export interface ClaimTally {
  readonly granted: number;
  readonly refused: number;
  readonly silent: number;
  readonly otherDisks: number;
  readonly unwritable: number;
}

/** Journal of one job, bound to one owner and term. */
export class JobJournal {
  private isSuperseded = false;
  private acceptsAppends = true;
  private tally: ClaimTally = tallyOf([]);

  constructor(private readonly options: JournalOptions) {}

  /** The replicas, as recorded in the head of the job. */
  get replicas(): readonly ReplicaLocation[] {
    return this.options.replicas;
  }

  get job(): string {
    return this.options.holder.job;
  }

  get term(): number {
    return this.options.holder.term;
  }

  /** Incarnation of the node that writes. */
  get writer(): string {
    return this.options.holder.writer;
  }

  /** Answers to the last claim. */
  get claimTally(): ClaimTally {
    return this.tally;
  }

  /** Makes this owner the only one that can write; the grant of one replica is enough. */
  async claim(): Promise<ClaimOutcome> {
    const { holder } = this.options;
    const answers = await this.requestFromAll((disk) => ({ kind: 'journal-claim', disk, holder }));
    this.tally = tallyOf(answers);
    const holders = refusingHolders(answers);
    const [rival] = holders;
    if (rival !== undefined) {
      this.isSuperseded = true;
      return { kind: 'held-elsewhere', holder: rival, holders };
    }
    // Entries of newer builds are ignored and stay on the replicas.
    const entries = answers
      .flatMap((answer) => (answer?.kind === 'granted' ? answer.entries : []))
      .filter(isKnownEntry);
    const { granted, otherDisks } = this.tally;
    if (granted > 0) return { kind: 'claimed', entries: latestEntries(entries) };
    return { kind: otherDisks === answers.length ? 'disks-gone' : 'silent' };
  }

  /** Stops appends, because the replicas are located where the job's data may not be stored. */
  disableAppends(): void {
    this.acceptsAppends = false;
  }

  /** Stores entries on all replicas; without entries, checks that this owner can still write. */
  async append(entries: readonly JournalEntry[]): Promise<AppendOutcome> {
    const { holder } = this.options;
    if (this.isSuperseded) return 'lost';
    if (entries.length > 0 && !this.acceptsEntries) return 'unsure';
    const written = entries.map((entry) => withTerm(entry, holder.term));
    const answers = await this.requestFromAll((disk) => ({
      ...{ kind: 'journal-append', disk, holder },
      entries: written,
    }));
    if (answers.some((answer) => answer?.kind === 'refused')) {
      this.isSuperseded = true;
      return 'lost';
    }
    return answers.every((answer) => answer?.kind === 'granted') ? 'kept' : 'unsure';
  }

  /** Removes entries that are now in the shared store from the replicas. */
  async release(entries: readonly JournalEntry[]): Promise<void> {
    const { holder } = this.options;
    const keys = entries.map(keyOfEntry);
    if (keys.length === 0 || this.isSuperseded) return;
    await this.requestFromAll((disk) => ({ kind: 'journal-release', disk, holder, keys }));
  }

  /**
   * Releases the claim wherever this owner still holds it; it writes nothing from now on. Returns
   * whether all replicas have answered.
   */
  async releaseClaim(release: ClaimRelease): Promise<boolean> {
    const { holder } = this.options;
    this.isSuperseded = true;
    const answers = await this.requestFromAll((disk) => ({
      ...{ kind: 'journal-release', disk, holder },
      ...{ keys: [], release },
    }));
    return answers.every((answer) => answer !== undefined && answer.kind !== 'unwritable');
  }

  /** Without one replica no entry becomes durable, so none is written to the others either. */
  private get acceptsEntries(): boolean {
    const { replicas, isDraining = () => false } = this.options;
    return this.acceptsAppends && !replicas.some(isDraining);
  }

  private requestFromAll(
    requestFor: (disk: string) => Extract<JournalRequest, { holder: JournalHolder }>,
  ): Promise<(ReplicaAnswer | undefined)[]> {
    const { port, metrics, replicas } = this.options;
    return Promise.all(
      replicas.map(async ({ address, disk }) => {
        const request = requestFor(disk);
        const outcome = (await port.request(
          address,
          request,
          REPLICA_ANSWER_TIMEOUT,
        )) as PeerOutcome<'journal-claim' | 'journal-append' | 'journal-release'>;
        const answer = outcome.kind === 'answered' ? outcome.answer : undefined;
        const outcomeLabel = answer?.kind ?? outcome.kind;
        metrics.count('journal_calls', { call: request.kind, outcome: outcomeLabel });
        return answer;
      }),
    );
  }
}

function tallyOf(answers: readonly (ReplicaAnswer | undefined)[]): ClaimTally {
  const count = (kind: ReplicaAnswer['kind'] | undefined): number =>
    answers.filter((answer) => answer?.kind === kind).length;
  return {
    ...{ granted: count('granted'), refused: count('refused'), silent: count(undefined) },
    ...{ otherDisks: count('other-disk'), unwritable: count('unwritable') },
  };
}

/**
 * The holders that replicas named as they refused a request, the one of the highest term first, and
 * released ones before others.
 */
function refusingHolders(answers: readonly (ReplicaAnswer | undefined)[]): JournalHolder[] {
  const holders = answers.flatMap((answer) => (answer?.kind === 'refused' ? [answer.holder] : []));
  const isOpen = ({ release }: JournalHolder): number => (release === undefined ? 1 : 0);
  return holders.sort((a, b) => b.term - a.term || isOpen(a) - isOpen(b));
}
