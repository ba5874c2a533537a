/**
 * One replica of a zone's journal. Requests that change the state run one at a time, and each is
 * answered after its change is synced to disk.
 */
import type { Milliseconds } from '../core/units.js';
import type { PeerAnswers, PeerHandler, PeerRequest } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import {
  isKnownEntry,
  type JournalEntry,
  type JournalHolder,
  type JournalList,
  type JournalRequest,
  type ReplicaAnswer,
  RIGHT_RETENTION,
  releasedHolder,
} from './journal-entries.js';
import { type JournalContent, JournalFile } from './journal-file.js';
import { type JournalChange, JournalState } from './journal-state.js';

/** A larger file is compacted before the next append. */
const MAX_FILE_BYTES = 33_554_432;

/** Time for which entries outlast the readability of their job. */
const RETENTION_MARGIN: Milliseconds = 60_000;

export interface JournalReplicaOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Time for which a job stays readable after its submission. */
  readonly retention: () => Milliseconds;
}

/** Serves the journal requests of job owners. */
export class JournalReplica implements PeerHandler {
  private queue: Promise<unknown> = Promise.resolve();
  private isDraining = false;

  private constructor(
    private readonly options: JournalReplicaOptions,
    private readonly state: JournalState,
    private readonly file: JournalFile,
  ) {}

  /** Opens the replica stored in a folder; an empty folder starts a new replica. */
  static async open(folder: string, options: JournalReplicaOptions): Promise<JournalReplica> {
    const state = new JournalState();
    const select = ({ changes }: JournalContent): readonly JournalChange[] => {
      for (const change of changes) {
        if (state.conflictingHolder(change.holder) === undefined) state.apply(change);
      }
      state.removeOlderThan(oldestRetainedTimes(options));
      return state.changes();
    };
    const file = await JournalFile.open(folder, select);
    const jobs = state.holders().length;
    const { disk, bytes, unreadLines } = file;
    options.log.state('journal-opened', { disk, jobs, bytes, unreadLines });
    return new JournalReplica(options, state, file);
  }

  /** Identity of the replica's disk. */
  get disk(): string {
    return this.file.disk;
  }

  async answer(request: PeerRequest): Promise<PeerAnswers[PeerRequest['kind']] | undefined> {
    const { disk } = this;
    switch (request.kind) {
      case 'journal-claim':
      case 'journal-append':
      case 'journal-release':
        return this.enqueue(() => this.applyRequest(request));
      case 'journal-look':
        return { disk, holdsEntries: this.state.entriesOf(request.job).length > 0 };
      case 'journal-list':
        return { disk, jobs: this.state.holders() };
      case 'journal-drain':
        return this.enqueue(async () => this.drain());
      default:
        return undefined;
    }
  }

  /** Closes the file after the pending requests. */
  async stop(): Promise<void> {
    await this.enqueue(() => this.file.close());
  }

  private enqueue<Value>(work: () => Promise<Value>): Promise<Value> {
    const result = this.queue.then(work);
    // A failure rejects only its own caller, not the requests queued after it.
    this.queue = result.catch(() => undefined);
    return result;
  }

  /** Stores no more entries; those of earlier requests are in the list. */
  private drain(): JournalList {
    const { disk } = this;
    const jobs = this.state.holders();
    if (!this.isDraining) this.options.log.state('journal-draining', { disk, jobs: jobs.length });
    this.isDraining = true;
    return { disk, jobs };
  }

  private async applyRequest(
    request: Extract<JournalRequest, { holder: JournalHolder }>,
  ): Promise<ReplicaAnswer> {
    const { holder } = request;
    if (request.disk !== this.disk) return { kind: 'other-disk' };
    const conflicting = this.state.conflictingHolder(holder);
    if (conflicting !== undefined) return { kind: 'refused', holder: conflicting };
    const hasEntries = request.kind === 'journal-append' && request.entries.length > 0;
    if (hasEntries && this.isDraining) return { kind: 'unwritable' };
    const change = this.changeOf(request);
    if (change !== undefined && !(await this.persist(change))) return { kind: 'unwritable' };
    if (request.kind !== 'journal-claim') return { kind: 'granted', entries: [] };
    const entries = this.state.entriesOf(holder.job);
    this.logUnknown(holder, entries);
    return { kind: 'granted', entries };
  }

  /** Logs entries of a newer build, which the new owner ignores. */
  private logUnknown({ job }: JournalHolder, entries: readonly JournalEntry[]): void {
    const unknown = entries.filter((entry) => !isKnownEntry(entry));
    if (unknown.length === 0) return;
    const kinds = [...new Set(unknown.map(({ kind }) => kind))].join(',');
    this.options.log.state('journal-entries-unknown', { job, kinds, entries: unknown.length });
  }

  /** The change that a request makes; `undefined` if there is nothing to persist. */
  private changeOf(
    request: Extract<JournalRequest, { holder: JournalHolder }>,
  ): JournalChange | undefined {
    const { holder } = request;
    const at = this.options.clock.wallTime();
    if (request.kind === 'journal-release') {
      const { keys, release } = request;
      if (release === undefined) return { kind: 'released', holder, keys, at };
      if (!this.state.isCurrentHolder(holder)) return undefined;
      return { kind: 'held', holder: releasedHolder(holder, release), entries: [], at };
    }
    const entries = request.kind === 'journal-append' ? request.entries : [];
    // A claim is written again, so that the holder is retained from the last one.
    const isCheck = request.kind === 'journal-append' && entries.length === 0;
    if (isCheck && this.state.isCurrentHolder(holder)) return undefined;
    return { kind: 'held', holder, entries, at };
  }

  /** Writes a change to disk and applies it; returns whether the write succeeded. */
  private async persist(change: JournalChange): Promise<boolean> {
    try {
      if (this.file.isBroken || this.file.bytes > MAX_FILE_BYTES) await this.compact();
      await this.file.append([change]);
    } catch (error) {
      this.options.log.fault('journal-write-failed', error);
      return false;
    }
    this.state.apply(change);
    return true;
  }

  private async compact(): Promise<void> {
    this.state.removeOlderThan(oldestRetainedTimes(this.options));
    await this.file.rewrite(this.state.changes());
  }
}

/** Times of day before which changes of jobs and of rights may be removed. */
function oldestRetainedTimes({ clock, retention }: JournalReplicaOptions): {
  readonly jobs: Milliseconds;
  readonly rights: Milliseconds;
} {
  const now = clock.wallTime();
  return { jobs: now - retention() - RETENTION_MARGIN, rights: now - RIGHT_RETENTION };
}
