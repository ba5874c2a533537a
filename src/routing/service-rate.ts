/** Estimates from observed service times when a slot of a worker is likely to be free. */
import type { Milliseconds } from '../core/units.js';

/** Share of the estimate that one new observation replaces. */
const SMOOTHING = 0.1;

/** Estimate before the first observation. */
const INITIAL_SERVICE_TIME: Milliseconds = 4_000;

/** Shortest and longest time a caller is told to wait. */
const MINIMUM_WAIT: Milliseconds = 50;
const MAXIMUM_WAIT: Milliseconds = 30_000;

/** A moving average of the time one generation holds its slot. */
export class ServiceRate {
  #serviceTime: Milliseconds | undefined;

  /** Takes in how long one finished generation held its slot. */
  observe(duration: Milliseconds): void {
    const before = this.#serviceTime ?? duration;
    this.#serviceTime = before + SMOOTHING * (duration - before);
  }

  /** Average time one generation holds its slot. */
  get serviceTime(): Milliseconds {
    return this.#serviceTime ?? INITIAL_SERVICE_TIME;
  }

  /** Time until a slot is likely free for one that comes after `ahead` others. */
  waitFor(ahead: number, running: number): Milliseconds {
    const wait = ((ahead + 1) * this.serviceTime) / Math.max(1, running);
    return Math.round(Math.min(MAXIMUM_WAIT, Math.max(MINIMUM_WAIT, wait)));
  }
}
