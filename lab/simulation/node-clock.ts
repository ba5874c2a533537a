/**
 * A node's own monotonic clock: it starts at an arbitrary value and may run slightly fast or slow.
 */
import type { Milliseconds } from '../../src/core/units.js';

/** Maps simulated time to one node's own time. */
export class NodeClock {
  #simulatedBase: Milliseconds;
  #localBase: Milliseconds;
  #rate: number;

  /**
   * @param start simulated time at which the clock shows `offset`
   * @param rate local milliseconds per simulated millisecond, about 1
   */
  constructor(start: Milliseconds, offset: Milliseconds, rate: number) {
    this.#simulatedBase = start;
    this.#localBase = offset;
    this.#rate = rate;
  }

  /** The node's own time at a point of simulated time. */
  read(simulated: Milliseconds): Milliseconds {
    return this.#localBase + (simulated - this.#simulatedBase) * this.#rate;
  }

  /** Lets the clock run at another rate from now on; what it shows never jumps back. */
  changeRate(simulated: Milliseconds, rate: number): void {
    this.#localBase = this.read(simulated);
    this.#simulatedBase = simulated;
    this.#rate = rate;
  }
}
