/**
 * Decides which samples at the end of a step are run a second time elsewhere (Dean and Barroso,
 * "The Tail at Scale", 2013). Only the last few of a step are hedged, and only a share of it.
 */
import type { Milliseconds } from '../core/units.js';

/** A sample of a step that has no result yet. */
export interface PendingSample {
  readonly key: string;
  /** When its oldest running attempt was dispatched; `undefined` while none runs. */
  readonly startedAt: Milliseconds | undefined;
  /** Attempts running now. */
  readonly attempts: number;
  /** Time the sample was expected to take; `undefined` where there is no prediction. */
  readonly expected: Milliseconds | undefined;
}

/** Where a step stands. */
export interface StepProgress {
  readonly sampleCount: number;
  readonly pending: readonly PendingSample[];
  /** Typical (median) time of the step's finished samples; `undefined` while none finished. */
  readonly typicalDuration: Milliseconds | undefined;
  /** Second attempts made in this step so far. */
  readonly hedgesMade: number;
}

/** Settings of hedging. */
export interface HedgingOptions {
  /** Share of a step that may be pending when hedging begins; default 0.02. */
  readonly tailShare?: number;
  /** Share of a step that may be hedged; default 0.02. */
  readonly hedgeShare?: number;
  /** A sample is late at this multiple of its expected time; default 1.5. */
  readonly lateness?: number;
}

/** Chooses samples to hedge. */
export class HedgingPolicy {
  readonly #tailShare: number;
  readonly #hedgeShare: number;
  readonly #lateness: number;

  constructor(options: HedgingOptions = {}) {
    this.#tailShare = options.tailShare ?? 0.02;
    this.#hedgeShare = options.hedgeShare ?? 0.02;
    this.#lateness = options.lateness ?? 1.5;
  }

  /** Whether so few samples of a step are pending that late ones may be hedged. */
  isTail(sampleCount: number, pendingCount: number): boolean {
    return pendingCount <= Math.max(1, Math.floor(sampleCount * this.#tailShare));
  }

  /** Keys of samples to be run once more now, the latest first. Samples must be repeatable. */
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

  /** Time a sample is past being late; 0 or less where it is not late or runs twice already. */
  #excess(sample: PendingSample, step: StepProgress, now: Milliseconds): Milliseconds {
    const expected = sample.expected ?? step.typicalDuration;
    if (sample.startedAt === undefined || sample.attempts !== 1 || expected === undefined) return 0;
    return now - sample.startedAt - this.#lateness * expected;
  }
}
