/**
 * How many samples of a step are in flight at once. It grows by one with each sample that a home
 * takes in while the limit is reached, so it doubles each round trip as in TCP's slow start
 * (Jacobson, 1988); waiting for samples to finish instead would take minutes where samples do. A
 * refusal sets the limit to what is in flight, which is what the workers have room for.
 */

const INITIAL_SIZE = 16;
const MINIMUM_SIZE = 4;

/** Limit of samples in flight for one step. */
export class DispatchWindow {
  private limit = INITIAL_SIZE;

  /** The limit, a whole number. */
  get size(): number {
    return this.limit;
  }

  /** A home took a sample in; `inFlight` counts it. */
  accepted(inFlight: number): void {
    if (inFlight >= this.limit) this.limit += 1;
  }

  /** A worker or all of them refused; `inFlight` does not count the refused sample. */
  refused(inFlight: number): void {
    this.limit = Math.max(MINIMUM_SIZE, Math.min(this.limit, inFlight));
  }
}
