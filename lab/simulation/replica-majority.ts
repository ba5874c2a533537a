/**
 * The one limit on faults. Replicas keep nothing on a disk, so a majority of a group must not
 * forget: a node may only end (be killed or stopped) while, in every group, more than half of the
 * members remain that run the life named in the group's record and have been voting in its epoch
 * for {@link SETTLED_AFTER}. Nodes log when they begin to vote. Everything else is unlimited.
 */
import { FEED_PREFIXES, type GroupRecord, groupKey } from '../../src/config-feed/configuration.js';
import { identityKey, type NodeId, type NodeIdentity } from '../../src/core/identity.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { Observation } from './observation.js';
import { decodeRecord } from './record-encoding.js';
import type { SimulatedNode } from './simulated-node.js';
import type { Simulation } from './simulation.js';

/** How long a member must have been voting, so that it holds the bodies of results too. */
export const SETTLED_AFTER: Milliseconds = 2_000;

/** Knows which replicas remember. */
export class ReplicaMajority {
  readonly #simulation: Simulation;
  /** When each life began to vote, by group, epoch and life. */
  readonly #votingSince = new Map<string, Milliseconds>();
  /** Nodes that were asked to stop and will forget. */
  readonly #stopping = new Set<NodeId>();

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
    simulation.addObserver((observation) => this.#observe(observation));
  }

  /** Whether a majority of each group would remember if the node's process ended now. */
  survivesEndOf(ending: SimulatedNode): boolean {
    const found = this.#simulation.keyValue.performDirectly({
      kind: 'range',
      key: FEED_PREFIXES.groups,
      prefix: true,
    });
    if (found.kind !== 'range') return true;
    return found.entries.every((entry) => {
      const group = decodeRecord<GroupRecord>(entry.value);
      if (!group.members.some((member) => member.node === ending.plan.node)) return true;
      const remaining = group.members.filter(
        (member) => member.node !== ending.plan.node && this.#remembers(group, member),
      );
      return remaining.length > group.members.length / 2;
    });
  }

  #remembers(group: GroupRecord, member: NodeIdentity): boolean {
    const node = this.#simulation.nodes.get(member.node);
    if (this.#stopping.has(member.node)) return false;
    if (node === undefined || !node.isAlive(member.incarnation)) return false;
    if (group.epoch === 1) return true;
    const since = this.#votingSince.get(votingKey(group.domain, group.shard, group.epoch, member));
    return since !== undefined && this.#simulation.queue.now - since >= SETTLED_AFTER;
  }

  #observe(observation: Observation): void {
    if (observation.kind === 'node-stop-asked') this.#stopping.add(observation.node);
    if (observation.kind === 'node-started') this.#stopping.delete(observation.node);
    if (observation.kind !== 'replica-active') return;
    const { at, domain, shard, epoch, node, incarnation } = observation;
    this.#votingSince.set(votingKey(domain, shard, epoch, { node, incarnation }), at);
  }
}

function votingKey(domain: string, shard: number, epoch: number, member: NodeIdentity): string {
  return `${groupKey(domain, shard)}@${epoch}/${identityKey(member)}`;
}
