/**
 * What it costs one node to know the machine list: the bytes of a read, the time to decode it and
 * to take it in, and the memory of the node's own copy. Each read is a new object, as in a process.
 */
import { createRandomSource } from '../../src/core/random.js';
import { SECOND } from '../../src/core/units.js';
import { NodeCore } from '../../src/node/node-core.js';
import { NODE_DEFAULTS } from '../../src/node/node-options.js';
import { machineList } from '../../src/platform/machine-list-client.js';
import { round } from '../common/statistics.js';
import { SimulatedMachineList } from '../simulation/simulated-machine-list.js';
import { fleetPlan } from './fleet-plan.js';
import { heapInUse, processorMilliseconds } from './hollow-fleet-measures.js';

const READS = 8;

/** Figures of one size, for a node that reads the whole list at every poll. */
export interface MachineListFigures {
  readonly nodes: number;
  readonly entries: number;
  readonly bytes_of_the_list: number;
  readonly decode_ms_a_read: number;
  readonly take_in_ms_a_read: number;
  readonly bytes_per_second: number;
  readonly core_share_percent: number;
  readonly memory_kb: number;
}

/** Measures one size. */
export function measureMachineList(nodes: number, seed: number): MachineListFigures {
  const plan = fleetPlan(nodes);
  const text = JSON.stringify(new SimulatedMachineList(plan).shown(0));
  const place = plan.nodes[0];
  if (place === undefined) throw new RangeError('a fleet has at least one node');
  const self = { ...place, incarnation: 1, region: plan.zones[0]?.region ?? '' };
  const { zones, operators } = plan;
  const core = new NodeCore({ self, random: createRandomSource(seed), zones, operators });
  core.handle({ kind: 'tick' }, 0);
  const before = heapInUse();
  let decode = 0;
  let takeIn = 0;
  for (let read = 0; read < READS; read += 1) {
    const started = processorMilliseconds();
    const machines = machineList.parse(JSON.parse(text));
    const decoded = processorMilliseconds();
    core.handle({ kind: 'machine-list', machines }, read * NODE_DEFAULTS.machineListInterval);
    decode += decoded - started;
    takeIn += processorMilliseconds() - decoded;
  }
  const memory = heapInUse() - before;
  core.handle({ kind: 'tick' }, READS * NODE_DEFAULTS.machineListInterval);
  const readsPerSecond = SECOND / NODE_DEFAULTS.machineListInterval;
  const bytes = Buffer.byteLength(text);
  return {
    nodes,
    entries: plan.nodes.length + plan.workers.length,
    bytes_of_the_list: bytes,
    decode_ms_a_read: round(decode / READS, 2),
    take_in_ms_a_read: round(takeIn / READS, 2),
    bytes_per_second: round(bytes * readsPerSecond, 0),
    core_share_percent: round((100 * ((decode + takeIn) / READS) * readsPerSecond) / SECOND, 3),
    memory_kb: round(memory / 1_024, 0),
  };
}
