/**
 * Measures for how long the machine may have been suspended. The steady clock stops during a
 * suspension, so that by it alone a lease would appear younger than it is.
 *
 * Node has no access to a clock that includes suspensions, and `os.uptime()` is coarse and reports
 * the host's clock in a time namespace. So the meter takes every gain of the time of day on the
 * steady clock for a suspension, also when the time of day is set forward: leases and cached state
 * then only expire earlier.
 */
import type { Milliseconds } from '../core/units.js';

/**
 * Smallest gain between two readings that counts, above rounding and clock slewing (0.5 ms a
 * second) and well below the duration of a lease (1,000 ms and more).
 */
const MIN_SUSPENSION: Milliseconds = 100;

export class SuspensionMeter {
  private timeOfDayOffset: Milliseconds;
  private total: Milliseconds = 0;

  constructor(
    private readonly steadyTime: () => Milliseconds,
    private readonly timeOfDay: () => Milliseconds,
  ) {
    this.timeOfDayOffset = timeOfDay() - steadyTime();
  }

  /** Total duration of all suspensions so far; never decreases. */
  read(): Milliseconds {
    const timeOfDayOffset = this.timeOfDay() - this.steadyTime();
    const gained = timeOfDayOffset - this.timeOfDayOffset;
    this.timeOfDayOffset = timeOfDayOffset;
    if (gained >= MIN_SUSPENSION) this.total += gained;
    return this.total;
  }
}
