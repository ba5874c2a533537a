/**
 * How long answers of one service take, as a moving mean and mean deviation. The expected limit is
 * the retransmission time-out of TCP (Jacobson and Karels 1988; RFC 6298): an answer that takes
 * longer is late by what was observed, whatever the service's usual time is.
 */
import type { Milliseconds } from '../core/units.js';

/** Shares of a new sample in the mean and in the deviation, and deviations in the limit. */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATIONS = 4;

/** Estimates from the answers seen so far. */
export class LatencyEstimate {
  private mean: Milliseconds | undefined;
  private deviation: Milliseconds = 0;

  /** `initial` is the limit before the first answer. */
  constructor(private readonly initial: Milliseconds) {}

  /** Takes in the time of one answer. */
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

  /** Time after which an answer is late; never more than `most`. */
  limit(maximum: Milliseconds): Milliseconds {
    if (this.mean === undefined) return Math.min(this.initial, maximum);
    return Math.min(this.mean + DEVIATIONS * this.deviation, maximum);
  }
}
