/**
 * Estimates the latency of a service as a moving mean and mean deviation, like the retransmission
 * timeout of TCP (Jacobson and Karels 1988; RFC 6298).
 */
import type { Milliseconds } from '../core/units.js';

/** Weights of a new sample, and the number of deviations by which the limit exceeds the mean. */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATIONS = 4;

export class LatencyEstimate {
  private mean: Milliseconds | undefined;
  private deviation: Milliseconds = 0;

  /** `initial` is the limit before the first sample. */
  constructor(private readonly initial: Milliseconds) {}

  /** Adds the latency of one answer. */
  note(sample: Milliseconds): void {
    if (this.mean === undefined) {
      this.mean = sample;
      this.deviation = sample / 2;
      return;
    }
    const error = sample - this.mean;
    this.deviation += DEVIATION_GAIN * (Math.abs(error) - this.deviation);
    this.mean += MEAN_GAIN * error;
  }

  /** Latency above which an answer is late, at most `maximum`. */
  limit(maximum: Milliseconds): Milliseconds {
    if (this.mean === undefined) return Math.min(this.initial, maximum);
    return Math.min(this.mean + DEVIATIONS * this.deviation, maximum);
  }
}
