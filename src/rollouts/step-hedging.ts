/**
 * Which running samples of a step get a second copy: keeps the step's pace and the number of copies
 * made, and looks at single samples only once few enough are left.
 */
import type { Milliseconds, TokenCount } from '../core/units.js';
import { HedgingPolicy, type PendingSample } from '../routing/hedging-policy.js';
import { StepPace } from './step-pace.js';

/** A running sample as its driver knows it. */
export interface HedgeCandidate {
  readonly key: string;
  readonly startedAt: Milliseconds;
  readonly liveCopies: number;
  readonly predictedTokens: TokenCount;
}

/** Hedging of one step; see `HedgingPolicy`. */
export class StepHedging {
  private readonly policy = new HedgingPolicy();
  private readonly pace = new StepPace();
  private hedgesMade = 0;

  constructor(private readonly sampleCount: number) {}

  /** Notes a finished sample. */
  finished(tokens: TokenCount, duration: Milliseconds): void {
    this.pace.record(tokens, duration);
  }

  /** Notes that a second copy was started. */
  hedged(): void {
    this.hedgesMade += 1;
  }

  /** Whether late samples may be hedged with so many running. */
  isTail(runningCount: number): boolean {
    return runningCount > 0 && this.policy.isTail(this.sampleCount, runningCount);
  }

  /** Keys of the samples to be run once more. */
  samplesToHedge(running: readonly HedgeCandidate[], now: Milliseconds): readonly string[] {
    const progress = {
      sampleCount: this.sampleCount,
      pending: running.map((sample) => this.pendingSample(sample)),
      typicalDuration: this.pace.typicalDuration(),
      hedgesMade: this.hedgesMade,
    };
    return this.policy.samplesToHedge(progress, now);
  }

  private pendingSample(sample: HedgeCandidate): PendingSample {
    const { key, startedAt, liveCopies, predictedTokens } = sample;
    const expected = this.pace.expectedDuration(predictedTokens);
    return { key, startedAt, attempts: liveCopies, expected };
  }
}
