/**
 * Tracks which workers are cold, as seen by one node. A worker is cold while its record or its
 * health check reports so. It is unconfirmed (kind `doubtful`), which counts as cold, from the
 * first record of an incarnation, or from the return of its zone, until a later probe or the end of
 * the longest cold time.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { ColdStart, WorkerRecord } from '../serving/traffic-configuration.js';
import {
  isLaterIncarnation,
  type WorkerIncarnation,
  workerIncarnationOf,
} from '../serving/worker-incarnation.js';

/**
 * Whether a worker is warm; `doubtful` means unconfirmed, `remaining` the longest time until warm.
 */
export type Warmth =
  | { readonly kind: 'warm' }
  | { readonly kind: 'cold' | 'doubtful'; readonly remaining: Milliseconds };

/** Margin on the cold time that a worker reports, for rounding and network delay. */
const COLD_MARGIN: Milliseconds = 100;

const WARM: Warmth = { kind: 'warm' };

/** State of one incarnation of a worker; times are of the node's steady clock. */
interface WorkerState {
  readonly fields: Pick<WorkerRecord, 'id' | 'startedAt'>;
  readonly incarnation: WorkerIncarnation;
  /** The cold time in the latest record. */
  recordedColdFor: Milliseconds | undefined;
  coldUntil: Milliseconds;
  /** The latest event after which the worker may be cold. */
  unconfirmedSince: Milliseconds;
  /** The worker stays unconfirmed at least this long. */
  minUnconfirmedTime: Milliseconds;
  /** Whether an event made the worker unconfirmed; false where the node has no information yet. */
  wasMarkedUnconfirmed: boolean;
  /** Start of the latest probe that the worker answered. */
  probedAt: Milliseconds;
}

export class WorkerWarmth {
  private readonly workers = new Map<string, WorkerState>();
  /**
   * Whether the first list of workers was read; an incarnation that appears later has just started.
   */
  private isListed = false;

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Call when the records of all workers that started before this node are applied. */
  noteListed(): void {
    this.isListed = true;
  }

  /** Applies a new or changed record. */
  noteRecord(record: WorkerRecord): void {
    const state = this.workers.get(record.id);
    if (state === undefined || isLaterIncarnation(record, state.fields)) {
      this.workers.set(record.id, this.initialState(record));
      return;
    }
    if (
      state.incarnation !== workerIncarnationOf(record) ||
      state.recordedColdFor === record.coldFor
    )
      return;
    state.recordedColdFor = record.coldFor;
    const remaining = record.coldFor ?? 0;
    if (remaining > 0) this.extendColdTime(state, remaining + COLD_MARGIN);
  }

  /** Marks a worker as possibly cold since an event `age` ago. */
  markUnconfirmed(record: WorkerRecord, age: Milliseconds = 0): void {
    const state = this.stateOf(record);
    state.unconfirmedSince = Math.max(state.unconfirmedSince, this.clock.now() - age);
    state.wasMarkedUnconfirmed = true;
  }

  /** Records the cold time that a worker reported to a probe sent at `probedAt`. */
  noteReported(record: WorkerRecord, remaining: Milliseconds, probedAt: Milliseconds): void {
    this.noteProbe(record, remaining > 0 ? remaining + COLD_MARGIN : 0, probedAt);
  }

  /**
   * Records the answer of another node to a request sent at `requestedAt`. It already includes the
   * margin: adding it again on each answer would keep a node that answers itself from ever seeing a
   * worker as warm.
   */
  notePeerReport(record: WorkerRecord, warmth: Warmth, requestedAt: Milliseconds): void {
    if (warmth.kind === 'doubtful') return;
    this.noteProbe(record, warmth.kind === 'cold' ? warmth.remaining : 0, requestedAt);
  }

  private noteProbe(record: WorkerRecord, remaining: Milliseconds, probedAt: Milliseconds): void {
    const state = this.stateOf(record);
    state.probedAt = Math.max(state.probedAt, probedAt);
    if (remaining > 0) this.extendColdTime(state, remaining);
  }

  of(record: WorkerRecord, coldStart: ColdStart): Warmth {
    const state = this.stateOf(record);
    const now = this.clock.now();
    if (now < state.coldUntil) return { kind: 'cold', remaining: state.coldUntil - now };
    if (state.probedAt > state.unconfirmedSince) return WARM;
    const maxDuration = Math.max(coldStart.duration, state.minUnconfirmedTime) + COLD_MARGIN;
    const remaining = state.unconfirmedSince + maxDuration - now;
    return remaining > 0 ? { kind: 'doubtful', remaining } : WARM;
  }

  /** Age of the event that made the worker unconfirmed; `undefined` where there was none. */
  unconfirmedAge(record: WorkerRecord): Milliseconds | undefined {
    const state = this.stateOf(record);
    return state.wasMarkedUnconfirmed ? this.clock.now() - state.unconfirmedSince : undefined;
  }

  /** Removes workers that are no longer known. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const worker of this.workers.keys()) if (!isKnown(worker)) this.workers.delete(worker);
  }

  private stateOf(record: WorkerRecord): WorkerState {
    const state = this.workers.get(record.id);
    if (state !== undefined && !isLaterIncarnation(record, state.fields)) return state;
    const initial = this.initialState(record);
    this.workers.set(record.id, initial);
    return initial;
  }

  /**
   * The cold time in a record is trusted only where the incarnation has just started; the record of
   * a worker older than this node may be out of date.
   */
  private initialState(record: WorkerRecord): WorkerState {
    const now = this.clock.now();
    const { id, startedAt, coldFor: recordedColdFor } = record;
    const coldFor = recordedColdFor ?? 0;
    const isColdNow = this.isListed && coldFor > 0;
    return {
      fields: { id, startedAt },
      incarnation: workerIncarnationOf(record),
      recordedColdFor,
      coldUntil: isColdNow ? now + coldFor + COLD_MARGIN : Number.NEGATIVE_INFINITY,
      unconfirmedSince: isColdNow ? Number.NEGATIVE_INFINITY : now,
      minUnconfirmedTime: coldFor,
      wasMarkedUnconfirmed: this.isListed,
      probedAt: isColdNow ? now : Number.NEGATIVE_INFINITY,
    };
  }

  private extendColdTime(state: WorkerState, remaining: Milliseconds): void {
    state.coldUntil = Math.max(state.coldUntil, this.clock.now() + remaining);
  }
}
