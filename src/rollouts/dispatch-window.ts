/**
 * How many samples of a step are in flight at once. Additive increase, multiplicative decrease
 * (Chiu and Jain, 1989): grows with each success, shrinks when workers refuse.
 */

const INITIAL_SIZE = 16;
const MINIMUM_SIZE = 4;
const DECREASE_FACTOR = 0.75;

/** Limit of samples in flight for one step. */
export class DispatchWindow {
  private limit = INITIAL_SIZE;

  /** The limit, a whole number. */
  get size(): number {
    return Math.floor(this.limit);
  }

  /** A sample finished: one more may be in flight. */
  succeeded(): void {
    this.limit += 1;
  }

  /** A worker or all of them refused: fewer should be in flight. */
  refused(): void {
    this.limit = Math.max(MINIMUM_SIZE, this.limit * DECREASE_FACTOR);
  }
}
