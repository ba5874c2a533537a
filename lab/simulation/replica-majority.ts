/** Whether every replica group keeps a majority of replicas that remember. */
import { FEED_PREFIXES, type GroupRecord } from '../../src/config-feed/configuration.js';
import { decodeRecord } from './record-encoding.js';
import type { SimulatedNode } from './simulated-node.js';
import type { Simulation } from './simulation.js';

/** Whether a majority of each group would remember if the node's process ended now. */
export function keepsMajorities(simulation: Simulation, ending: SimulatedNode): boolean {
  const found = simulation.keyValue.performDirectly({
    kind: 'range',
    key: FEED_PREFIXES.groups,
    prefix: true,
  });
  if (found.kind !== 'range') return true;
  return found.entries.every((entry) => {
    const { members } = decodeRecord<GroupRecord>(entry.value);
    const remembering = members.filter((member) => {
      const node = simulation.nodes.get(member.node);
      return node !== undefined && node !== ending && node.isAlive(member.incarnation);
    });
    return remembering.length > members.length / 2;
  });
}
