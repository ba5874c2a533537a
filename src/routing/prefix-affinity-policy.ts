/** Policy: prefix affinity with bounded load over the load the engines report. */
import { pickWithBoundedLoad } from './bounded-load-pick.js';
import { HashRingCache } from './hash-ring.js';
import type { RoutingPolicy } from './routing-policy.js';

/** How far above the average a worker may be loaded. */
const LOAD_FACTOR = 1.25;

/** Creates the policy `prefix-affinity-bounded-load`. */
export function createPrefixAffinityPolicy(): RoutingPolicy {
  const rings = new HashRingCache();
  const measure = {
    load: (candidate: { readonly reportedLoad: number }) => candidate.reportedLoad,
    capacity: (candidate: { readonly slots: number }) => candidate.slots,
  };
  return {
    name: 'prefix-affinity-bounded-load',
    pick: (choice) =>
      pickWithBoundedLoad(choice, rings.ringOf(choice.candidates), measure, LOAD_FACTOR),
  };
}
