/**
 * Which workers are cold, as far as one node knows. A worker is cold while its record or its health check
 * says so, and doubtful, which counts as cold, while the node has reason to think that it may be: its life is
 * new to the node, or its zone has just come back. A doubt ends when a later look finds the worker warm,
 * or when any cold time that may have begun is over.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { ColdStart, WorkerRecord } from '../serving/traffic-configuration.js';
import {
  isLaterIncarnation,
  type WorkerIncarnation,
  workerIncarnationOf,
} from '../serving/worker-incarnation.js';

/** How warm a worker is, and how much longer at most if it is not. */
export type Warmth =
  | { readonly kind: 'warm' }
  | { readonly kind: 'cold' | 'doubtful'; readonly remaining: Milliseconds };

/** Added to what a worker tells: it is told in whole milliseconds, and the way takes some. */
const COLD_MARGIN: Milliseconds = 100;

const WARM: Warmth = { kind: 'warm' };

/** What is known of one life of a worker; times are of the node's steady clock. */
interface KnownLife {
  readonly fields: Pick<WorkerRecord, 'id' | 'startedAt'>;
  readonly life: WorkerIncarnation;
  /** The cold time that the last record told. */
  recordedColdFor: Milliseconds | undefined;
  coldUntil: Milliseconds;
  doubtedAt: Milliseconds;
  /** Least time that the doubt lasts. */
  doubtLasts: Milliseconds;
  /** Whether something happened that made the node doubt; otherwise it only knows nothing. */
  isDoubtNews: boolean;
  /** The last look at which the worker told how warm it is. */
  lookedAt: Milliseconds;
}

/** Knows which workers are cold. */
export class WorkerWarmth {
  private readonly lives = new Map<string, KnownLife>();
  /** Whether the workers were listed; a life that shows after that has just begun. */
  private isListed = false;

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** All workers that were there before this node have been told. */
  noteListed(): void {
    this.isListed = true;
  }

  /** Takes in a worker's record, new or changed. */
  noteRecord(record: WorkerRecord): void {
    const known = this.lives.get(record.id);
    if (known === undefined || isLaterIncarnation(record, known.fields)) {
      this.lives.set(record.id, this.firstSeen(record));
      return;
    }
    if (known.life !== workerIncarnationOf(record) || known.recordedColdFor === record.coldFor)
      return;
    known.recordedColdFor = record.coldFor;
    const remaining = record.coldFor ?? 0;
    if (remaining > 0) this.lengthen(known, remaining + COLD_MARGIN);
  }

  /** Something happened after which a worker may be cold. */
  markUnconfirmed(record: WorkerRecord, age: Milliseconds = 0): void {
    const known = this.known(record);
    known.doubtedAt = Math.max(known.doubtedAt, this.clock.now() - age);
    known.isDoubtNews = true;
  }

  /** The worker told how long it stays cold, asked at `askedAt`; an earlier doubt is settled by that. */
  noteReported(record: WorkerRecord, remaining: Milliseconds, askedAt: Milliseconds): void {
    this.noteLook(record, remaining > 0 ? remaining + COLD_MARGIN : 0, askedAt);
  }

  /**
   * Another node, asked at `askedAt`, told what it knows. Its margin is in that: with one more in each
   * answer, a node that answers itself would never take a worker for warm again.
   */
  noteShared(record: WorkerRecord, warmth: Warmth, askedAt: Milliseconds): void {
    if (warmth.kind === 'doubtful') return;
    this.noteLook(record, warmth.kind === 'cold' ? warmth.remaining : 0, askedAt);
  }

  private noteLook(record: WorkerRecord, remaining: Milliseconds, askedAt: Milliseconds): void {
    const known = this.known(record);
    known.lookedAt = Math.max(known.lookedAt, askedAt);
    if (remaining > 0) this.lengthen(known, remaining);
  }

  /** How warm a worker is. */
  of(record: WorkerRecord, coldStart: ColdStart): Warmth {
    const known = this.known(record);
    const now = this.clock.now();
    if (now < known.coldUntil) return { kind: 'cold', remaining: known.coldUntil - now };
    if (known.lookedAt > known.doubtedAt) return WARM;
    const longest = Math.max(coldStart.duration, known.doubtLasts) + COLD_MARGIN;
    const remaining = known.doubtedAt + longest - now;
    return remaining > 0 ? { kind: 'doubtful', remaining } : WARM;
  }

  /** Age of the event that made this node doubt; `undefined` where there was none. */
  doubtAge(record: WorkerRecord): Milliseconds | undefined {
    const known = this.known(record);
    return known.isDoubtNews ? this.clock.now() - known.doubtedAt : undefined;
  }

  /** Forgets workers that are known no longer. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const worker of this.lives.keys()) if (!isKnown(worker)) this.lives.delete(worker);
  }

  private known(record: WorkerRecord): KnownLife {
    const known = this.lives.get(record.id);
    if (known !== undefined && !isLaterIncarnation(record, known.fields)) return known;
    const first = this.firstSeen(record);
    this.lives.set(record.id, first);
    return first;
  }

  /**
   * What the record of a worker that was there before this node tells may be long past; of one that
   * has just shown it is believed, and whether it is still cold later is looked at.
   */
  private firstSeen(record: WorkerRecord): KnownLife {
    const now = this.clock.now();
    const { id, startedAt, coldFor: recordedColdFor } = record;
    const coldFor = recordedColdFor ?? 0;
    const isColdNow = this.isListed && coldFor > 0;
    return {
      fields: { id, startedAt },
      life: workerIncarnationOf(record),
      recordedColdFor,
      coldUntil: isColdNow ? now + coldFor + COLD_MARGIN : Number.NEGATIVE_INFINITY,
      doubtedAt: isColdNow ? Number.NEGATIVE_INFINITY : now,
      doubtLasts: coldFor,
      isDoubtNews: this.isListed,
      lookedAt: isColdNow ? now : Number.NEGATIVE_INFINITY,
    };
  }

  private lengthen(known: KnownLife, remaining: Milliseconds): void {
    known.coldUntil = Math.max(known.coldUntil, this.clock.now() + remaining);
  }
}
