/**
 * Exponential backoff with full jitter (M. Brooker, "Exponential Backoff and Jitter", 2015), with
 * a floor of half the step so that a retry never follows at once.
 */
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';

/** Bounds of the delay. */
export interface RetryDelayOptions {
  /** Delay before the first retry, before jitter. */
  readonly base: Milliseconds;
  /** Longest delay. */
  readonly limit: Milliseconds;
}

/** Doublings after which the limit always holds; keeps the power finite. */
const LARGEST_EXPONENT = 20;

/**
 * Delay before a retry.
 * @param failures failures in a row so far, at least 1.
 */
export function retryDelay(
  options: RetryDelayOptions,
  failures: number,
  random: RandomSource,
): Milliseconds {
  const exponent = Math.min(failures - 1, LARGEST_EXPONENT);
  const step = Math.min(options.limit, options.base * 2 ** exponent);
  return step * (0.5 + 0.5 * random.fraction());
}
