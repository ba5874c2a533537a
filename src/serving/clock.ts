/** Clocks of a process, injected so that tests can control time. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '../core/units.js';
import { SuspensionMeter } from './suspension-meter.js';

export interface Clock {
  /**
   * Steady time; never goes back and is unrelated to the time of day. It stops while the machine is
   * suspended, so that a wait for other nodes is never cut short.
   */
  now(): Milliseconds;
  /**
   * Total time since the start for which the machine may have been suspended, which {@link now}
   * does not include. Leases and cached state age by it as well.
   */
  suspendedTime(): Milliseconds;
  /** Unix time; close to true time, and may differ between machines. */
  wallTime(): Milliseconds;
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

/** Steady time including suspensions, by which leases and cached state age. */
export function suspendAwareTime(clock: Pick<Clock, 'now' | 'suspendedTime'>): Milliseconds {
  return clock.now() + clock.suspendedTime();
}
