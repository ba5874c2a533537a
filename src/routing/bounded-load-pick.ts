/**
 * Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016): a key goes to
 * the first worker round the ring whose load is below a factor of the average.
 */
import type { HashRing } from './hash-ring.js';
import { candidateAt, type RoutingChoice, type RoutingPick } from './routing-policy.js';
import type { WorkerCandidate } from './worker-candidate.js';

/** Load and capacity of one candidate, in the same unit for all. */
export interface LoadMeasure {
  /** Generations on the candidate. */
  load(candidate: WorkerCandidate): number;
  /** Slots the candidate should be given; above 0. */
  capacity(candidate: WorkerCandidate): number;
}

/** Load that each slot may carry, such that all workers together could take one more. */
function boundPerSlot(choice: RoutingChoice, measure: LoadMeasure, factor: number): number {
  let load = 1;
  let capacity = 0;
  for (let position = 0; position < choice.eligibleCount; position += 1) {
    const candidate = candidateAt(choice.candidates, choice.eligible[position]);
    load += measure.load(candidate);
    capacity += measure.capacity(candidate);
  }
  return (factor * load) / capacity;
}

/**
 * Picks by affinity on the request's prompt group. A worker is below its bound while one more
 * generation keeps it at `ceil(factor * average * its slots)`.
 */
export function pickWithBoundedLoad(
  choice: RoutingChoice,
  ring: HashRing,
  measure: LoadMeasure,
  factor: number,
): RoutingPick | undefined {
  const bound = boundPerSlot(choice, measure, factor);
  const start = ring.pointOf(choice.request.promptGroup);
  let first = true;
  for (let step = 0; step < ring.size; step += 1) {
    const owner = ring.ownerOf(start + step);
    if (choice.eligibleFlags[owner] !== 1) continue;
    const candidate = candidateAt(choice.candidates, owner);
    const limit = Math.ceil(bound * measure.capacity(candidate));
    if (measure.load(candidate) < limit) {
      return { candidate, reason: first ? 'prefix-affinity' : 'load-bound-passed-on' };
    }
    first = false;
  }
  return undefined;
}
