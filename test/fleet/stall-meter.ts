/** Measures when this process did not run: all simulated nodes, with their store, stood still. */
import type { Milliseconds } from '../../src/core/units.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';

const TICK: Milliseconds = 10;
const MIN_STALL: Milliseconds = 60;

interface Stall {
  readonly from: Milliseconds;
  readonly to: Milliseconds;
}

/** Records stalls from its creation until {@link stop}. */
export class StallMeter {
  private readonly stalls: Stall[] = [];
  private lastTickAt = PROCESS_CLOCK.now();
  private readonly timer = setInterval(() => this.tick(), TICK);

  stalledWithin(from: Milliseconds, to: Milliseconds): Milliseconds {
    // The last stall may not have been noticed yet.
    this.tick();
    const overlaps = this.stalls.map((stall) =>
      Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from)),
    );
    return overlaps.reduce((sum, overlap) => sum + overlap, 0);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const now = PROCESS_CLOCK.now();
    if (now - this.lastTickAt > MIN_STALL) this.stalls.push({ from: this.lastTickAt, to: now });
    this.lastTickAt = now;
  }
}
