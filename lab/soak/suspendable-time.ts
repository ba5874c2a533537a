/**
 * A steady clock that stands still while its process is stopped by a signal, as that of a suspended
 * machine does: a gap between two marks of a process that runs is taken out of what it tells.
 */
import type { Milliseconds } from '../../src/core/units.js';

/** Time between two marks of a process that runs. */
export const MARK_INTERVAL: Milliseconds = 20;

/** A longer gap between two marks is a stop; turns of a busy gateway are shorter. */
const LEAST_STOP: Milliseconds = 250;

/** The clock. */
export class SuspendableTime {
  private markedAt: Milliseconds;
  private withheld: Milliseconds = 0;

  /** `realTime` counts on during a stop. */
  constructor(private readonly realTime: () => Milliseconds) {
    this.markedAt = realTime();
  }

  /** Steady time without the stops; each call is a mark. */
  now(): Milliseconds {
    const now = this.realTime();
    const gap = now - this.markedAt;
    if (gap >= LEAST_STOP) this.withheld += gap;
    this.markedAt = now;
    return now - this.withheld;
  }
}
