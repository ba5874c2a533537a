/** Estimates from observed service times how long a dispatch waits for a slot of a worker. */
import type { Milliseconds } from '../core/units.js';

/** Weight of a new observation in the moving average. */
const SMOOTHING = 0.1;

const INITIAL_SERVICE_TIME: Milliseconds = 4_000;

const MIN_WAIT: Milliseconds = 50;
const MAX_WAIT: Milliseconds = 30_000;

/** A moving average of the time that a generation occupies its slot. */
export class ServiceRate {
  #serviceTime: Milliseconds | undefined;

  /** Records how long a finished generation occupied its slot. */
  observe(duration: Milliseconds): void {
    const before = this.#serviceTime ?? duration;
    this.#serviceTime = before + SMOOTHING * (duration - before);
  }

  /** Average time that a generation occupies its slot. */
  get serviceTime(): Milliseconds {
    return this.#serviceTime ?? INITIAL_SERVICE_TIME;
  }

  /** Estimated wait for a slot behind `ahead` queued dispatches, between 50 ms and 30 s. */
  estimateWait(ahead: number, running: number): Milliseconds {
    const wait = ((ahead + 1) * this.serviceTime) / Math.max(1, running);
    return Math.round(Math.min(MAX_WAIT, Math.max(MIN_WAIT, wait)));
  }
}
