/**
 * Exponential backoff with full jitter (Brooker, "Exponential Backoff and Jitter", 2015): a random
 * time up to a limit that doubles with each attempt, so that retries do not come in waves.
 */
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';

/** Settings of backoff. */
export interface BackoffOptions {
  /** Upper limit before the first retry; default 50 ms. */
  readonly base?: Milliseconds;
  /** Largest upper limit; default 5,000 ms. */
  readonly maximum?: Milliseconds;
}

/**
 * Time to wait before a retry.
 *
 * @param retry 0 for the first retry
 * @param atLeast time the refusing side asked for; jitter is added on top of it
 */
export function backoffDelay(
  retry: number,
  random: RandomSource,
  options: BackoffOptions = {},
  atLeast: Milliseconds = 0,
): Milliseconds {
  const limit = Math.min(options.maximum ?? 5_000, (options.base ?? 50) * 2 ** retry);
  return Math.round(atLeast + limit * random.fraction());
}
