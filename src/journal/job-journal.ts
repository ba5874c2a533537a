/**
 * The journal of one job, as the node that runs the job writes it. An entry is kept once all
 * replicas of the job have it on their disks; any one of them that answers another owner keeps this
 * one from writing. So no two owners can both believe that the journal is theirs, and what was kept
 * is found on any replica whose disk is still there.
 */
import type { Milliseconds } from '../core/units.js';
import type { PeerOutcome, PeerPort } from '../peers/peer-messages.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import {
  isKnownEntry,
  type JournalEntry,
  type JournalHolder,
  type JournalRequest,
  keyOfEntry,
  type ReplicaAnswer,
} from './journal-entries.js';
import type { ReplicaLocation } from './replica-location.js';

/**
 * Time for an answer: replicas are in the zone of the owner (0.2 ms away) and sync a disk (some ms);
 * one that is slowed ten times still answers.
 */
const ANSWER_LIMIT: Milliseconds = 300;

/** Replicas of one job, and who writes to them. */
export interface JournalOptions {
  readonly port: PeerPort;
  readonly metrics: FleetMetrics;
  readonly replicas: readonly ReplicaLocation[];
  readonly holder: JournalHolder;
}

/**
 * What became of an entry. `kept`: all replicas have it; `lost`: another owner writes the job now;
 * `unsure`: some replica did not answer or could not write, and may do so when asked again.
 */
export type AppendOutcome = 'kept' | 'lost' | 'unsure';

/** What a claim came to. */
export type ClaimOutcome =
  /** No earlier owner can write any more; what the journal held for it. */
  | { readonly kind: 'claimed'; readonly entries: readonly JournalEntry[] }
  /** An owner of the same or a later term writes the job. */
  | { readonly kind: 'held-elsewhere'; readonly holder: JournalHolder }
  /** No replica whose disk is still there answers. */
  | { readonly kind: 'silent' }
  /** All replicas answer, and none has the disk that was written to. */
  | { readonly kind: 'disks-gone' };

/** Writes the entries of one job. */
export class JobJournal {
  private isLost = false;
  private takesEntries = true;

  constructor(private readonly options: JournalOptions) {}

  /** The replicas of the job, for its head. */
  get replicas(): readonly ReplicaLocation[] {
    return this.options.replicas;
  }

  /** The job whose journal it is. */
  get job(): string {
    return this.options.holder.job;
  }

  /** The term of the owner. */
  get term(): number {
    return this.options.holder.term;
  }

  /** Makes this owner the only one that can write; one replica is enough for that. */
  async claim(): Promise<ClaimOutcome> {
    const { holder } = this.options;
    const answers = await this.askAll((disk) => ({ kind: 'journal-claim', disk, holder }));
    const entries = new Map<string, JournalEntry>();
    let granted = 0;
    let otherDisks = 0;
    for (const answer of answers) {
      if (answer?.kind === 'refused') {
        this.isLost = true;
        return { kind: 'held-elsewhere', holder: answer.holder };
      }
      if (answer?.kind === 'other-disk') otherDisks += 1;
      if (answer?.kind !== 'granted') continue;
      granted += 1;
      // What a newer build has left stays at the replicas.
      const known = answer.entries.filter(isKnownEntry);
      for (const entry of known) entries.set(keyOfEntry(entry), entry);
    }
    if (granted > 0) return { kind: 'claimed', entries: [...entries.values()] };
    return { kind: otherDisks === answers.length ? 'disks-gone' : 'silent' };
  }

  /** Its replicas stand where nothing more of the job may be kept: only the store takes changes. */
  disableAppends(): void {
    this.takesEntries = false;
  }

  /** Has all replicas keep entries; without any: whether this owner could still write. */
  async append(entries: readonly JournalEntry[]): Promise<AppendOutcome> {
    const { holder } = this.options;
    if (this.isLost) return 'lost';
    if (entries.length > 0 && !this.takesEntries) return 'unsure';
    const answers = await this.askAll((disk) => ({
      kind: 'journal-append',
      disk,
      holder,
      entries,
    }));
    if (answers.some((answer) => answer?.kind === 'refused')) {
      this.isLost = true;
      return 'lost';
    }
    return answers.every((answer) => answer?.kind === 'granted') ? 'kept' : 'unsure';
  }

  /** The shared store has some entries: the replicas need not hold them any longer. */
  async release(entries: readonly JournalEntry[]): Promise<void> {
    const { holder } = this.options;
    const keys = entries.map(keyOfEntry);
    if (keys.length === 0 || this.isLost) return;
    await this.askAll((disk) => ({ kind: 'journal-release', disk, holder, keys }));
  }

  private askAll(
    question: (disk: string) => Extract<JournalRequest, { holder: JournalHolder }>,
  ): Promise<(ReplicaAnswer | undefined)[]> {
    const { port, metrics, replicas } = this.options;
    return Promise.all(
      replicas.map(async ({ address, disk }) => {
        const request = question(disk);
        const outcome = (await port.request(address, request, ANSWER_LIMIT)) as PeerOutcome<
          'journal-claim' | 'journal-append' | 'journal-release'
        >;
        const answer = outcome.kind === 'answered' ? outcome.answer : undefined;
        const told = answer?.kind ?? outcome.kind;
        metrics.count('journal_calls', { call: request.kind, outcome: told });
        return answer;
      }),
    );
  }
}
