/**
 * Exponential backoff with full jitter (Brooker, "Exponential Backoff and Jitter", 2015): a random
 * delay below a limit that doubles with each attempt, so that clients do not retry at once.
 */
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';

export interface BackoffOptions {
  /** Upper limit of the first delay; default 50 ms. */
  readonly base?: Milliseconds;
  /** Largest upper limit of a delay; default 5,000 ms. */
  readonly maximum?: Milliseconds;
}

/**
 * Delay before a retry.
 *
 * @param retry number of the retry, from 0
 * @param minimumDelay delay that the server requested; jitter is added to it
 */
export function backoffDelay(
  retry: number,
  random: RandomSource,
  options: BackoffOptions = {},
  minimumDelay: Milliseconds = 0,
): Milliseconds {
  const limit = Math.min(options.maximum ?? 5_000, (options.base ?? 50) * 2 ** retry);
  return Math.round(minimumDelay + limit * random.fraction());
}
