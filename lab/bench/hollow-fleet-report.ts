/** What the benches on hollow fleets share: the cost of a module a node, and the closing line. */
import { type Milliseconds, SECOND } from '../../src/core/units.js';
import { numberFlag, sizesFlag } from '../common/flags.js';
import { round } from '../common/statistics.js';
import type { CommandFlags } from '../main.js';
import { FLEET_SIZES } from './hollow-fleet.js';
import { processorMilliseconds, slopePerThousand } from './hollow-fleet-measures.js';
import type { TrafficMeter } from './hollow-fleet-traffic.js';

/** Share of messages lost in the measured fleets, in `[0, 1]`. */
export const PACKET_LOSS = 0.01;

/** Cost of a module a node while nothing happens, in a fleet of one size. */
export interface SteadyCost {
  readonly nodes: number;
  readonly bytes_per_second_a_node: number;
  readonly largest_bytes_per_second_of_a_node: number;
  readonly messages_per_second_a_node: number;
  readonly core_share_percent_a_node: number;
  readonly core_share_with_codec_percent_a_node: number;
}

/** Runs a fleet for a time, and measures what that costs a node. */
export function measureSteadyCost(
  traffic: TrafficMeter,
  nodes: number,
  duration: Milliseconds,
  runFleet: () => void,
): SteadyCost {
  traffic.reset();
  const startedCpu = processorMilliseconds();
  runFleet();
  const cpu = processorMilliseconds() - startedCpu - traffic.samplingMilliseconds;
  const totals = traffic.totals();
  const share = (milliseconds: number): number => round((100 * milliseconds) / duration / nodes, 4);
  return {
    nodes,
    bytes_per_second_a_node: round(perSecond(totals.bytes, duration) / nodes, 1),
    largest_bytes_per_second_of_a_node: round(perSecond(totals.largestNodeBytes, duration), 1),
    messages_per_second_a_node: round(perSecond(totals.messages, duration) / nodes, 2),
    core_share_percent_a_node: share(cpu),
    core_share_with_codec_percent_a_node: share(cpu + totals.codecMilliseconds),
  };
}

/** One bench on hollow fleets. */
export interface HollowBench<Figures extends SteadyCost> {
  readonly name: string;
  measure(size: number, seed: number): Figures;
  /** Memory of a node, for its slope over the size. */
  memoryKilobytes(figures: Figures): number;
  isWithinTargets(figures: Figures): boolean;
}

/** Measures all sizes, prints one line for each and the summary; exit code 0 within all targets. */
export function runHollowBench<Figures extends SteadyCost>(
  bench: HollowBench<Figures>,
  flags: CommandFlags,
): number {
  const seed = numberFlag(flags, 'seed', 1);
  const figures: Figures[] = [];
  for (const size of sizesFlag(flags, FLEET_SIZES)) {
    const measured = bench.measure(size, seed);
    figures.push(measured);
    console.log(JSON.stringify(measured));
  }
  const slope = (pick: (one: Figures) => number): number =>
    slopePerThousand(figures.map((one) => ({ x: one.nodes, y: pick(one) })));
  const holds = figures.every((one) => bench.isWithinTargets(one));
  const summary = {
    bench: bench.name,
    seed,
    packet_loss_percent: PACKET_LOSS * 100,
    sizes: figures,
    slope_bytes_per_second_a_node_per_1000_nodes: slope((one) => one.bytes_per_second_a_node),
    slope_messages_per_second_a_node_per_1000_nodes: slope((one) => one.messages_per_second_a_node),
    slope_core_share_percent_a_node_per_1000_nodes: slope((one) => one.core_share_percent_a_node),
    slope_memory_kb_a_node_per_1000_nodes: slope((one) => bench.memoryKilobytes(one)),
    holds,
  };
  console.log(JSON.stringify(summary));
  return holds ? 0 : 1;
}

/** A figure per second. */
export function perSecond(count: number, duration: Milliseconds): number {
  return (count * SECOND) / duration;
}
