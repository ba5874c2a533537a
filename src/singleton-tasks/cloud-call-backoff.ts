/** When a call to the cloud interface is made again: pauses that double, with jitter. */
import type { Milliseconds } from '../core/units.js';

/** Pause after the first call that failed, and the longest one. */
const FIRST_PAUSE: Milliseconds = 300;
const LONGEST_PAUSE: Milliseconds = 2_000;

/** Share of a pause that is drawn at random, so that duties do not repeat their calls together. */
const JITTER_SHARE = 0.3;

/** The pauses of one matter. */
export class CloudCallBackoff {
  private failures = 0;
  private notBefore: Milliseconds = 0;

  /** Whether it is time for a call. */
  isDue(now: Milliseconds): boolean {
    return now >= this.notBefore;
  }

  /** A call failed. */
  noteFailure(now: Milliseconds): void {
    const pause = Math.min(FIRST_PAUSE * 2 ** this.failures, LONGEST_PAUSE);
    this.failures += 1;
    this.notBefore = now + pause * (1 - JITTER_SHARE * Math.random());
  }

  /** A call succeeded. */
  noteSuccess(): void {
    this.failures = 0;
    this.notBefore = 0;
  }
}
