/**
 * Bench of whole nodes in fleets of 100 to 400 in simulated time: messages, bytes, processor time
 * and memory a node, requests to the platform, and their slopes over the size of the fleet. The
 * machine list, which the simulator shares between nodes, is measured apart.
 */
import { loadavg } from 'node:os';
import { type Milliseconds, SECOND } from '../../src/core/units.js';
import { numberFlag, sizesFlag } from '../common/flags.js';
import { round } from '../common/statistics.js';
import type { CommandFlags } from '../main.js';
import { type MachineListFigures, measureMachineList } from './fleet-machine-list.js';
import { type FleetFigures, measureFleet } from './fleet-run.js';
import { slopePerThousand } from './hollow-fleet-measures.js';

/** Sizes that take about two minutes together; larger ones by `--size`. */
const SIZES = [100, 200, 300, 400] as const;
/** Sizes at which the machine list is measured as well, which is cheap. */
const LARGE_LIST_SIZES = [1_000, 2_700] as const;

const WARM_UP: Milliseconds = 8 * SECOND;
const PHASE: Milliseconds = 4 * SECOND;

/** What a node may spend on control, by the letter. */
const BUDGET = {
  core_share_percent: 1.1,
  memory_kb: 256 * 1_024,
  bytes_per_second: 4_096,
} as const;

function withinBudget(figures: FleetFigures, list: MachineListFigures): boolean {
  const share = figures.idle.core_share_percent + list.core_share_percent;
  const bytes = figures.idle.bytes_per_second + list.bytes_per_second;
  const memory = figures.heap_kb_a_node + list.memory_kb;
  return (
    share <= BUDGET.core_share_percent &&
    bytes <= BUDGET.bytes_per_second &&
    memory <= BUDGET.memory_kb
  );
}

/** Runs the bench; flags: `--seed N`, `--size N` for one size, `--seconds N` for the phases. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const seed = numberFlag(flags, 'seed', 1);
  const sizes = sizesFlag(flags, SIZES);
  const phase = numberFlag(flags, 'seconds', PHASE / SECOND) * SECOND;
  const fleets: FleetFigures[] = [];
  const lists: MachineListFigures[] = [];
  for (const nodes of sizes) {
    const list = measureMachineList(nodes, seed);
    const fleet = measureFleet({ seed, nodes, warmUp: WARM_UP, phase });
    lists.push(list);
    fleets.push(fleet);
    const load = round(loadavg()[0] ?? 0, 1);
    console.log(JSON.stringify({ ...fleet, machine_list: list, load_average: load }));
  }
  for (const nodes of flags.size === undefined ? LARGE_LIST_SIZES : []) {
    const list = measureMachineList(nodes, seed);
    lists.push(list);
    console.log(JSON.stringify(list));
  }
  const slope = <Figure extends { readonly nodes: number }>(
    figures: readonly Figure[],
    pick: (figure: Figure) => number,
  ): number => slopePerThousand(figures.map((one) => ({ x: one.nodes, y: pick(one) })));
  const holds = fleets.every((fleet, index) => {
    const list = lists[index];
    return list !== undefined && withinBudget(fleet, list);
  });
  const summary = {
    bench: 'fleet',
    seed,
    sizes,
    slopes_a_node_per_1000_nodes: {
      idle_bytes_per_second: slope(fleets, (one) => one.idle.bytes_per_second),
      idle_messages_per_second: slope(fleets, (one) => one.idle.messages_per_second),
      idle_core_share_percent: slope(fleets, (one) => one.idle.core_share_percent),
      load_bytes_per_second: slope(fleets, (one) => one.load.bytes_per_second),
      load_core_share_percent: slope(fleets, (one) => one.load.core_share_percent),
      heap_kb: slope(fleets, (one) => one.heap_kb_a_node),
      machine_list_bytes_per_second: slope(lists, (one) => one.bytes_per_second),
      machine_list_core_share_percent: slope(lists, (one) => one.core_share_percent),
      machine_list_memory_kb: slope(lists, (one) => one.memory_kb),
    },
    budget: BUDGET,
    holds,
  };
  console.log(JSON.stringify(summary));
  return holds ? 0 : 1;
}
