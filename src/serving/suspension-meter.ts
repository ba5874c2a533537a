/**
 * Tells for how long the machine may have been suspended. The steady clock stands still then and the
 * time of day goes on, so that a lease looks as fresh as before.
 *
 * Node has no call for the clock that counts on through a suspension. `os.uptime()` reads a file of
 * the system with hundredths of a second, and where a process has clocks of its own it tells the
 * host's (9.9 s while the process counted 39.0 s). A time of day that gets ahead of the steady
 * clock is what remains. It looks the same when the time of day is corrected; that is taken for a
 * suspension too, as it only makes what is believed look older.
 */
import type { Milliseconds } from '../core/units.js';

/**
 * Least lead that the time of day gains between two readings for it to count. It is read in whole
 * milliseconds and adjusted by at most 0.5 ms a second; a lease is believed for 1,000 ms and more.
 */
const MIN_SUSPENSION: Milliseconds = 100;

/** Compares two clocks at each reading. */
export class SuspensionMeter {
  private lead: Milliseconds;
  private total: Milliseconds = 0;

  constructor(
    private readonly steadyTime: () => Milliseconds,
    private readonly timeOfDay: () => Milliseconds,
  ) {
    this.lead = timeOfDay() - steadyTime();
  }

  /** All suspensions so far together; never goes down. */
  read(): Milliseconds {
    const lead = this.timeOfDay() - this.steadyTime();
    const gained = lead - this.lead;
    this.lead = lead;
    if (gained >= MIN_SUSPENSION) this.total += gained;
    return this.total;
  }
}
