/** Policy: prefix affinity with bounded load, with the load from the engines' reports. */
import { BoundedLoadPicker } from './bounded-load-pick.js';
import { HashRingCache } from './hash-ring.js';
import { candidateAt, type RoutingPolicy } from './routing-policy.js';

/** Largest load of a worker relative to the average. */
const LOAD_FACTOR = 1.25;

/** Creates the policy `prefix-affinity-bounded-load`. */
export function createPrefixAffinityPolicy(): RoutingPolicy {
  const rings = new HashRingCache();
  const picker = new BoundedLoadPicker(LOAD_FACTOR);
  return {
    name: 'prefix-affinity-bounded-load',
    pick: (choice) => {
      const { candidates, eligible, eligibleCount } = choice;
      picker.begin(candidates.length);
      for (let position = 0; position < eligibleCount; position += 1) {
        const index = eligible[position] as number;
        const candidate = candidateAt(candidates, index);
        picker.add(index, candidate.reportedLoad, candidate.slots);
      }
      return picker.pick(choice, rings.ringOf(candidates));
    },
  };
}
