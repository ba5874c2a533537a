/** Exponential backoff with jitter for calls to the cloud interface. */
import type { Milliseconds } from '../core/units.js';

const INITIAL_PAUSE: Milliseconds = 300;
const MAX_PAUSE: Milliseconds = 2_000;

/** Randomized share of a pause, so that tasks do not retry simultaneously. */
const JITTER_SHARE = 0.3;

/** Backoff state of one task. */
export class CloudCallBackoff {
  private failures = 0;
  private notBefore: Milliseconds = 0;

  isDue(now: Milliseconds): boolean {
    return now >= this.notBefore;
  }

  noteFailure(now: Milliseconds): void {
    const pause = Math.min(INITIAL_PAUSE * 2 ** this.failures, MAX_PAUSE);
    this.failures += 1;
    this.notBefore = now + pause * (1 - JITTER_SHARE * Math.random());
  }

  noteSuccess(): void {
    this.failures = 0;
    this.notBefore = 0;
  }
}
