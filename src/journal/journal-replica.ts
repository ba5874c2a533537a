/**
 * One replica of a zone's journal: answers holders, after what they were promised is on the disk.
 * Questions that change something are answered in turn, each with a sync of its own.
 */
import type { Milliseconds } from '../core/units.js';
import type { PeerAnswers, PeerHandler, PeerRequest } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import {
  isKnownEntry,
  type JournalEntry,
  type JournalHolder,
  type JournalRequest,
  type ReplicaAnswer,
} from './journal-entries.js';
import { type JournalContent, JournalFile } from './journal-file.js';
import { type JournalChange, JournalState } from './journal-state.js';

/** Bytes of the file beyond which it is written anew without what is released. */
const LARGEST_FILE = 33_554_432;

/** Time for which a job is kept beyond the time for which jobs stay readable. */
const RETENTION_MARGIN: Milliseconds = 60_000;

/** Options of {@link JournalReplica}. */
export interface JournalReplicaOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Time for which a job stays readable after its submission. */
  readonly retention: () => Milliseconds;
}

/** Answers the questions of holders. */
export class JournalReplica implements PeerHandler {
  private queue: Promise<unknown> = Promise.resolve();

  private constructor(
    private readonly options: JournalReplicaOptions,
    private readonly state: JournalState,
    private readonly file: JournalFile,
  ) {}

  /** Opens the replica that a folder holds; an empty one holds a new replica. */
  static async open(folder: string, options: JournalReplicaOptions): Promise<JournalReplica> {
    const state = new JournalState();
    const select = ({ changes }: JournalContent): readonly JournalChange[] => {
      for (const change of changes) {
        if (state.rivalOf(change.holder) === undefined) state.apply(change);
      }
      state.dropOlderThan(oldestOf(options));
      return state.changes();
    };
    const file = await JournalFile.open(folder, select);
    const jobs = state.holders().length;
    const { disk, bytes, unreadLines } = file;
    options.log.state('journal-opened', { disk, jobs, bytes, unreadLines });
    return new JournalReplica(options, state, file);
  }

  /** The life of its disk. */
  get disk(): string {
    return this.file.disk;
  }

  async answer(request: PeerRequest): Promise<PeerAnswers[PeerRequest['kind']] | undefined> {
    const { disk } = this;
    switch (request.kind) {
      case 'journal-claim':
      case 'journal-append':
      case 'journal-release':
        return this.inTurn(() => this.change(request));
      case 'journal-look':
        return { disk, holdsEntries: this.state.entriesOf(request.job).length > 0 };
      case 'journal-list':
        return { disk, jobs: this.state.holders() };
      default:
        return undefined;
    }
  }

  /** Ends after the questions that it has taken. */
  async stop(): Promise<void> {
    await this.inTurn(() => this.file.close());
  }

  private inTurn<Value>(work: () => Promise<Value>): Promise<Value> {
    const turn = this.queue.then(work);
    // A failed turn is told to who asked for it; the next one is not its concern.
    this.queue = turn.catch(() => undefined);
    return turn;
  }

  private async change(
    request: Extract<JournalRequest, { holder: JournalHolder }>,
  ): Promise<ReplicaAnswer> {
    const { holder } = request;
    if (request.disk !== this.disk) return { kind: 'other-disk' };
    const rival = this.state.rivalOf(holder);
    if (rival !== undefined) return { kind: 'refused', holder: rival };
    const change = this.changeOf(request);
    if (change !== undefined && !(await this.keep(change))) return { kind: 'unwritable' };
    if (request.kind !== 'journal-claim') return { kind: 'granted', entries: [] };
    const entries = this.state.entriesOf(holder.job);
    this.logUnknown(holder, entries);
    return { kind: 'granted', entries };
  }

  /** A newer build, which ran the job before, left something that the next owner passes over. */
  private logUnknown({ job }: JournalHolder, entries: readonly JournalEntry[]): void {
    const unknown = entries.filter((entry) => !isKnownEntry(entry));
    if (unknown.length === 0) return;
    const kinds = [...new Set(unknown.map(({ kind }) => kind))].join(',');
    this.options.log.state('journal-entries-unknown', { job, kinds, entries: unknown.length });
  }

  /** What a question changes; `undefined` where nothing new has to be kept for it. */
  private changeOf(
    request: Extract<JournalRequest, { holder: JournalHolder }>,
  ): JournalChange | undefined {
    const { holder } = request;
    const at = this.options.clock.wallTime();
    if (request.kind === 'journal-release') {
      return { kind: 'released', holder, keys: request.keys, at };
    }
    const entries = request.kind === 'journal-append' ? request.entries : [];
    if (entries.length === 0 && this.state.isHolder(holder)) return undefined;
    return { kind: 'held', holder, entries, at };
  }

  /** Puts a change on the disk and makes it; tells whether that was possible. */
  private async keep(change: JournalChange): Promise<boolean> {
    try {
      if (this.file.isBroken || this.file.bytes > LARGEST_FILE) await this.startAnew();
      await this.file.append([change]);
    } catch (error) {
      this.options.log.fault('journal-write-failed', error);
      return false;
    }
    this.state.apply(change);
    return true;
  }

  private async startAnew(): Promise<void> {
    this.state.dropOlderThan(oldestOf(this.options));
    await this.file.startAnew(this.state.changes());
  }
}

/** Time of day before which nothing is needed any longer. */
function oldestOf({ clock, retention }: JournalReplicaOptions): Milliseconds {
  return clock.wallTime() - retention() - RETENTION_MARGIN;
}
