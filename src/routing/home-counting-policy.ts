/**
 * The default policy: prefix affinity with bounded load over what the workers' homes count as
 * outstanding plus what this node sent since, with slow start for workers that returned.
 */
import type { Milliseconds } from '../core/units.js';
import { pickWithBoundedLoad } from './bounded-load-pick.js';
import { HashRingCache } from './hash-ring.js';
import type { RoutingPolicy } from './routing-policy.js';
import { expectedOutstanding, slowStartShare, type WorkerCandidate } from './worker-candidate.js';

/** Name of the default policy. */
export const HOME_COUNTING = 'home-counting';

/** How far above the average a worker may be loaded. */
const LOAD_FACTOR = 1.15;

/** Creates the policy `home-counting`. */
export function createHomeCountingPolicy(): RoutingPolicy {
  const rings = new HashRingCache();
  let decisionTime: Milliseconds = 0;
  const measure = {
    load: expectedOutstanding,
    capacity: (candidate: WorkerCandidate) =>
      candidate.slots * slowStartShare(candidate, decisionTime),
  };
  return {
    name: HOME_COUNTING,
    pick: (choice) => {
      decisionTime = choice.now;
      return pickWithBoundedLoad(choice, rings.ringOf(choice.candidates), measure, LOAD_FACTOR);
    },
  };
}
