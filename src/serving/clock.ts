/** The clocks of a process, passed in so that tests can hold them. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '../core/units.js';
import { SuspensionMeter } from './suspension-meter.js';

/** Reads time. */
export interface Clock {
  /**
   * Steady time; never goes back and stands in no relation to the time of day. Stands still while the
   * machine is suspended, so that a wait for others' sake is never cut short.
   */
  now(): Milliseconds;
  /**
   * Time since the start for which the machine may have been suspended, which {@link now} lacks. What
   * is believed for a limited time ages by it.
   */
  suspendedTime(): Milliseconds;
  /** Time of day since 1970; close to true time, and may differ between machines. */
  wallTime(): Milliseconds;
  /** Resolves after a time. */
  sleep(duration: Milliseconds): Promise<void>;
}

const steadyTime = (): Milliseconds => performance.now();
const timeOfDay = (): Milliseconds => Date.now();
const suspensions = new SuspensionMeter(steadyTime, timeOfDay);

/** The clocks of this process. */
export const PROCESS_CLOCK: Clock = {
  now: steadyTime,
  suspendedTime: () => suspensions.read(),
  wallTime: timeOfDay,
  sleep: (duration) => pause(duration),
};

/** Time by which beliefs age: steady time, and time for which the machine may have been suspended. */
export function suspendAwareTime(clock: Pick<Clock, 'now' | 'suspendedTime'>): Milliseconds {
  return clock.now() + clock.suspendedTime();
}
