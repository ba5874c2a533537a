/**
 * Baseline policy: the lowest load in the engines' reports. The reports lag, so senders tend to
 * choose the same worker until the next report.
 */
import type { RandomSource } from '../core/random.js';
import { candidateAt, type RoutingPolicy } from './routing-policy.js';

/** Creates the policy `least-lagged-load`; the scan starts at random, and the first of a tie wins. */
export function createLeastLaggedLoadPolicy(random: RandomSource): RoutingPolicy {
  return {
    name: 'least-lagged-load',
    pick: ({ candidates, eligible, eligibleCount }) => {
      const start = random.integer(eligibleCount);
      let best = candidateAt(candidates, eligible[start]);
      for (let offset = 1; offset < eligibleCount; offset += 1) {
        const position = (start + offset) % eligibleCount;
        const candidate = candidateAt(candidates, eligible[position]);
        const isLower = candidate.reportedLoad * best.slots < best.reportedLoad * candidate.slots;
        if (isLower) best = candidate;
      }
      return { candidate: best, reason: 'least-load' };
    },
  };
}
