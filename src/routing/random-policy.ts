/** Baseline policy: a uniformly random eligible worker. */
import type { RandomSource } from '../core/random.js';
import { candidateAt, type RoutingPolicy } from './routing-policy.js';

/** Creates the policy `random`. */
export function createRandomPolicy(random: RandomSource): RoutingPolicy {
  return {
    name: 'random',
    pick: ({ candidates, eligible, eligibleCount }) => ({
      candidate: candidateAt(candidates, eligible[random.integer(eligibleCount)]),
      reason: 'random',
    }),
  };
}
