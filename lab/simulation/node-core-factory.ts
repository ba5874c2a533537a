/** Makes the real decision core for simulated nodes. */
import { type MechanismName, mechanismsWithout } from '../../src/node/mechanisms.js';
import { NodeCore } from '../../src/node/node-core.js';
import type { NodeCoreOptions } from '../../src/node/node-options.js';
import type { NodeFactory } from './ports.js';

/** Ledger shards of an intent: few, so that the groups of a small deployment form quickly. */
const SHARDS_PER_DOMAIN = 3;

/** A factory of nodes on which the named mechanisms are switched off. */
export function createNodeFactory(
  without: readonly MechanismName[] = [],
  changes: Pick<NodeCoreOptions, 'resume' | 'resumeRoom'> = {},
): NodeFactory {
  const mechanisms = mechanismsWithout(...without);
  return (self, plan, random) =>
    new NodeCore({
      self,
      random,
      zones: plan.zones,
      operators: plan.operators,
      seedAddresses: plan.nodes.map((node) => node.address),
      shardsPerDomain: SHARDS_PER_DOMAIN,
      mechanisms,
      ...changes,
    });
}
