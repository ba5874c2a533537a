/** Baseline policy: eligible workers in turn, regardless of load. */
import { candidateAt, type RoutingPolicy } from './routing-policy.js';

/** Creates the policy `round-robin`; each instance has its own counter. */
export function createRoundRobinPolicy(): RoutingPolicy {
  let turn = 0;
  return {
    name: 'round-robin',
    pick: ({ candidates, eligible, eligibleCount }) => {
      const index = eligible[turn % eligibleCount];
      turn += 1;
      return { candidate: candidateAt(candidates, index), reason: 'round-robin' };
    },
  };
}
