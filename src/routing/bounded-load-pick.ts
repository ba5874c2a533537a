/**
 * Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016): a key goes to
 * the first worker round the ring whose load is below a factor of the average.
 */
import type { HashRing } from './hash-ring.js';
import { candidateAt, type RoutingChoice, type RoutingPick } from './routing-policy.js';

/** Candidates the arrays hold at first. */
const INITIAL_SIZE = 128;

/** Loads and capacities of one choice; the arrays are used again for the next one. */
export class BoundedLoadPicker {
  readonly #factor: number;
  #loads = new Float64Array(INITIAL_SIZE);
  #capacities = new Float64Array(INITIAL_SIZE);
  #totalLoad = 0;
  #totalCapacity = 0;

  /** @param factor how far above the average a worker may be loaded; above 1 */
  constructor(factor: number) {
    this.#factor = factor;
  }

  /** Starts a choice among so many candidates. */
  begin(candidateCount: number): void {
    this.#totalLoad = 0;
    this.#totalCapacity = 0;
    if (candidateCount <= this.#loads.length) return;
    this.#loads = new Float64Array(candidateCount * 2);
    this.#capacities = new Float64Array(candidateCount * 2);
  }

  /** Sets the load and the slots of the eligible candidate at an index; slots are above 0. */
  add(index: number, load: number, capacity: number): void {
    this.#loads[index] = load;
    this.#capacities[index] = capacity;
    this.#totalLoad += load;
    this.#totalCapacity += capacity;
  }

  /**
   * Picks by affinity on the request's prompt group. A worker is below its bound while its load is
   * less than `ceil(factor * average * its slots)`, the average counting the request itself.
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
