/**
 * Selects late samples at the end of a step for a second, concurrent attempt on another worker
 * (Dean and Barroso, "The Tail at Scale", 2013).
 */
import type { Milliseconds } from '../core/units.js';

/** A sample without a result. */
export interface PendingSample {
  readonly key: string;
  /** When the oldest running attempt was dispatched; `undefined` while none is running. */
  readonly startedAt: Milliseconds | undefined;
  /** Number of running attempts. */
  readonly attempts: number;
  /** Predicted duration; `undefined` where there is no prediction. */
  readonly expected: Milliseconds | undefined;
}

/** Progress of one step. */
export interface StepProgress {
  readonly sampleCount: number;
  readonly pending: readonly PendingSample[];
  /** Median duration of the finished samples; `undefined` while none has finished. */
  readonly typicalDuration: Milliseconds | undefined;
  /** Number of hedged samples of the step so far. */
  readonly hedgesMade: number;
}

export interface HedgingOptions {
  /** Largest share of pending samples at which hedging begins; default 0.02. */
  readonly tailShare?: number;
  /** Largest share of samples that are hedged; default 0.02. */
  readonly hedgeShare?: number;
  /** A sample is late after this multiple of its expected duration; default 1.5. */
  readonly lateness?: number;
}

export class HedgingPolicy {
  readonly #tailShare: number;
  readonly #hedgeShare: number;
  readonly #lateness: number;

  constructor(options: HedgingOptions = {}) {
    this.#tailShare = options.tailShare ?? 0.02;
    this.#hedgeShare = options.hedgeShare ?? 0.02;
    this.#lateness = options.lateness ?? 1.5;
  }

  /** Whether the number of pending samples is low enough for hedging. */
  isTail(sampleCount: number, pendingCount: number): boolean {
    return pendingCount <= Math.max(1, Math.floor(sampleCount * this.#tailShare));
  }

  /** Keys of the samples to hedge now, the most overdue first. All samples must be repeatable. */
  samplesToHedge(step: StepProgress, now: Milliseconds): readonly string[] {
    if (!this.isTail(step.sampleCount, step.pending.length)) return [];
    const budget = Math.max(1, Math.floor(step.sampleCount * this.#hedgeShare)) - step.hedgesMade;
    if (budget <= 0) return [];
    return step.pending
      .map((sample) => ({ key: sample.key, excess: this.#excess(sample, step, now) }))
      .filter((entry) => entry.excess > 0)
      .sort((left, right) => right.excess - left.excess)
      .slice(0, budget)
      .map((entry) => entry.key);
  }

  /** How long the sample has been late; 0 or less where it is not late or already hedged. */
  #excess(sample: PendingSample, step: StepProgress, now: Milliseconds): Milliseconds {
    const expected = sample.expected ?? step.typicalDuration;
    if (sample.startedAt === undefined || sample.attempts !== 1 || expected === undefined) return 0;
    return now - sample.startedAt - this.#lateness * expected;
  }
}
