/**
 * The shape of the decisions a simulated node runs. `NodeCore` satisfies it; tests of the harness
 * put a small stand-in in its place.
 */
import type { NodeRecord } from '../../src/core/identity.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, Revision } from '../../src/core/units.js';
import type { NodeEffect, NodeEvent } from '../../src/node/node-events.js';
import type { FleetPlan } from './fleet-plan.js';

/** The decisions of one life of one node. */
export interface NodeLogic {
  handle(event: NodeEvent, now: Milliseconds): readonly NodeEffect[];
  /** The configuration in force on this node. */
  configuration(): { readonly revision: Revision };
}

/** Makes the decisions of a new life of a node. */
export type NodeFactory = (self: NodeRecord, plan: FleetPlan, random: RandomSource) => NodeLogic;
