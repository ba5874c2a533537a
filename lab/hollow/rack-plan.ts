/** Where the hollow nodes of a rack listen: each on a loopback address of its own. */
import type { NodeRecord } from '../../src/core/identity.js';
import type { MachineRecord } from '../../src/platform/worker.js';
import { FLEET_ZONES } from '../bench/hollow-fleet.js';

/** Secret of the hollow nodes. */
export const HOLLOW_TOKEN = 'hollow-peer-token-of-all-nodes';

const PEER_PORT = 7_400;
const FIRST_NETWORK = 40;

/** Nodes of one rack; a rack lies in one zone. */
export function rackRecords(rack: number, nodes: number, incarnation: number): NodeRecord[] {
  const place = FLEET_ZONES[rack % FLEET_ZONES.length];
  if (place === undefined) throw new RangeError('there are no zones');
  return Array.from({ length: nodes }, (_, position) => ({
    node: `rack-${rack}-node-${position}`,
    incarnation,
    zone: place.zone,
    region: place.region,
    machine: `machine-${rack}-${position}`,
    address: `127.0.${FIRST_NETWORK + rack}.${position + 1}:${PEER_PORT}`,
  }));
}

/** The machine list of all racks. */
export function rackMachines(racks: number, nodes: number): readonly MachineRecord[] {
  return Array.from({ length: racks }, (_, rack) => rackRecords(rack, nodes, 1))
    .flat()
    .map(({ machine, zone, address }) => {
      return { machine, zone, state: 'live', nodeAddresses: [address], workers: [] };
    });
}
