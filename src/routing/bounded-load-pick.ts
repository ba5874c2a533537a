/**
 * Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016): a key goes to
 * the first worker on the ring, clockwise, whose load is below a factor of the average.
 */
import type { HashRing } from './hash-ring.js';
import { candidateAt, type RoutingChoice, type RoutingPick } from './routing-policy.js';

/** Initial length of the arrays, in candidates. */
const INITIAL_SIZE = 128;

/** Collects loads and capacities for one choice and picks; the arrays are reused between choices. */
export class BoundedLoadPicker {
  readonly #factor: number;
  #loads = new Float64Array(INITIAL_SIZE);
  #capacities = new Float64Array(INITIAL_SIZE);
  #totalLoad = 0;
  #totalCapacity = 0;

  /** @param factor largest load of a worker relative to the average; above 1 */
  constructor(factor: number) {
    this.#factor = factor;
  }

  /** Resets the totals and makes room for a number of candidates. */
  begin(candidateCount: number): void {
    this.#totalLoad = 0;
    this.#totalCapacity = 0;
    if (candidateCount <= this.#loads.length) return;
    this.#loads = new Float64Array(candidateCount * 2);
    this.#capacities = new Float64Array(candidateCount * 2);
  }

  /** Sets load and capacity of the eligible candidate at an index; the capacity is above 0. */
  add(index: number, load: number, capacity: number): void {
    this.#loads[index] = load;
    this.#capacities[index] = capacity;
    this.#totalLoad += load;
    this.#totalCapacity += capacity;
  }

  /**
   * Picks by the hash of the request's prompt group. A worker is below its bound while its load is
   * less than `ceil(factor * average * capacity)`; the average includes the request itself.
   */
  pick(choice: RoutingChoice, ring: HashRing): RoutingPick | undefined {
    const bound = (this.#factor * (this.#totalLoad + 1)) / this.#totalCapacity;
    const start = ring.pointOf(choice.request.promptGroup);
    let isFirst = true;
    for (let step = 0; step < ring.size; step += 1) {
      const owner = ring.ownerOf(start + step);
      if (choice.eligibleFlags[owner] !== 1) continue;
      const limit = Math.ceil(bound * (this.#capacities[owner] ?? 0));
      if ((this.#loads[owner] ?? 0) < limit) {
        const candidate = candidateAt(choice.candidates, owner);
        return { candidate, reason: isFirst ? 'prefix-affinity' : 'load-bound-passed-on' };
      }
      isFirst = false;
    }
    return undefined;
  }
}
