/**
 * Policy: the less loaded of two random eligible workers (Mitzenmacher, "The Power of Two Choices
 * in Randomized Load Balancing", 2001).
 */
import type { RandomSource } from '../core/random.js';
import { candidateAt, type RoutingPolicy } from './routing-policy.js';
import { relativeLoad } from './worker-candidate.js';

/** Creates the policy `power-of-two`. */
export function createPowerOfTwoPolicy(random: RandomSource): RoutingPolicy {
  return {
    name: 'power-of-two',
    pick: ({ candidates, eligible, eligibleCount, now }) => {
      const first = candidateAt(candidates, eligible[random.integer(eligibleCount)]);
      const second = candidateAt(candidates, eligible[random.integer(eligibleCount)]);
      const firstIsLower = relativeLoad(first, now) <= relativeLoad(second, now);
      return { candidate: firstIsLower ? first : second, reason: 'power-of-two' };
    },
  };
}
