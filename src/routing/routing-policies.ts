/** The registry of the built-in routing policies. */
import { createHomeCountingPolicy, HOME_COUNTING } from './home-counting-policy.js';
import { createLeastLaggedLoadPolicy } from './least-lagged-load-policy.js';
import { createPowerOfTwoPolicy } from './power-of-two-policy.js';
import { createPrefixAffinityPolicy } from './prefix-affinity-policy.js';
import { createRandomPolicy } from './random-policy.js';
import { createRoundRobinPolicy } from './round-robin-policy.js';
import { RoutingPolicyRegistry } from './routing-policy.js';

/** Creates a registry of all built-in policies. */
export function createRoutingPolicies(): RoutingPolicyRegistry {
  return new RoutingPolicyRegistry()
    .register('random', createRandomPolicy)
    .register('round-robin', createRoundRobinPolicy)
    .register('least-lagged-load', createLeastLaggedLoadPolicy)
    .register('power-of-two', createPowerOfTwoPolicy)
    .register('prefix-affinity-bounded-load', createPrefixAffinityPolicy)
    .register(HOME_COUNTING, createHomeCountingPolicy);
}
