/** The clocks of a process, passed in so that tests can hold them. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '../core/units.js';

/** Reads time. */
export interface Clock {
  /** Steady time; never goes back and stands in no relation to the time of day. */
  now(): Milliseconds;
  /** Time of day since 1970; close to true time, and may differ between machines. */
  wallTime(): Milliseconds;
  /** Resolves after a time. */
  sleep(duration: Milliseconds): Promise<void>;
}

/** The clocks of this process. */
export const PROCESS_CLOCK: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
  sleep: (duration) => pause(duration),
};
