/**
 * The default policy: prefix affinity with bounded load. The load is the outstanding count of the
 * worker's home plus the dispatches sent since; workers that return get a slow start.
 */
import { BoundedLoadPicker } from './bounded-load-pick.js';
import { HashRingCache } from './hash-ring.js';
import { candidateAt, type RoutingPolicy } from './routing-policy.js';
import { expectedOutstanding, slowStartShare } from './worker-candidate.js';

/** Name of the default policy. */
export const HOME_COUNTING = 'home-counting';

/** Largest load of a worker relative to the average. */
const LOAD_FACTOR = 1.15;

/** Creates the policy `home-counting`. */
export function createHomeCountingPolicy(): RoutingPolicy {
  const rings = new HashRingCache();
  const picker = new BoundedLoadPicker(LOAD_FACTOR);
  return {
    name: HOME_COUNTING,
    pick: (choice) => {
      const { candidates, eligible, eligibleCount, now } = choice;
      picker.begin(candidates.length);
      for (let position = 0; position < eligibleCount; position += 1) {
        const index = eligible[position] as number;
        const candidate = candidateAt(candidates, index);
        const capacity = candidate.slots * slowStartShare(candidate, now);
        picker.add(index, expectedOutstanding(candidate), capacity);
      }
      return picker.pick(choice, rings.ringOf(candidates));
    },
  };
}
