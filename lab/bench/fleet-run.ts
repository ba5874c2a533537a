/**
 * One fleet of whole node cores in simulated time, measured idle and under the letter's rate of
 * samples: 19 trainers with 16,384 samples in 8 minutes over 2,700 nodes.
 */
import type { NodeRecord } from '../../src/core/identity.js';
import { type Milliseconds, SECOND } from '../../src/core/units.js';
import { NodeCore } from '../../src/node/node-core.js';
import { round } from '../common/statistics.js';
import type { FleetPlan } from '../simulation/fleet-plan.js';
import { Simulation } from '../simulation/simulation.js';
import { TrainerClient } from '../simulation/trainer-client.js';
import { FleetMeter } from './fleet-meter.js';
import { fleetPlan, TRAINERS } from './fleet-plan.js';
import { heapInUse, processorMilliseconds } from './hollow-fleet-measures.js';

/** Samples a node and second at the letter's size. */
export const SAMPLES_PER_NODE_SECOND = (TRAINERS * 16_384) / 480 / 2_700;

const MAX_TOKENS = 16;
const STEP_TIMEOUT: Milliseconds = 120 * SECOND;

/** How long the phases of a run last. */
export interface FleetRunOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly warmUp: Milliseconds;
  readonly phase: Milliseconds;
}

/** Figures of one phase, each a node and second. */
export interface PhaseFigures {
  readonly messages_per_second: number;
  readonly bytes_per_second: number;
  readonly largest_bytes_per_second_of_a_node: number;
  readonly bytes_per_second_by_module: Readonly<Record<string, number>>;
  readonly messages_per_second_by_kind: Readonly<Record<string, number>>;
  readonly requests_per_second_by_kind: Readonly<Record<string, number>>;
  readonly key_value_requests_per_second_of_fleet: number;
  readonly core_share_percent: number;
  readonly core_share_with_simulator_percent: number;
  readonly core_share_percent_by_event: Readonly<Record<string, number>>;
}

/** Figures of one size. */
export interface FleetFigures {
  readonly nodes: number;
  readonly workers: number;
  readonly heap_kb_a_node: number;
  readonly groups: number;
  readonly idle: PhaseFigures;
  readonly load: PhaseFigures;
  readonly samples_asked: number;
  readonly samples_handed_over: number;
}

/** Runs one fleet and measures it. */
export function measureFleet(options: FleetRunOptions): FleetFigures {
  const meter = new FleetMeter();
  const plan = fleetPlan(options.nodes);
  const initialMembers = firstLives(plan);
  const simulation = new Simulation({
    seed: options.seed,
    plan,
    observeMessages: false,
    createNode: (self, { zones, operators }, random) =>
      meter.measured(new NodeCore({ self, random, zones, operators, initialMembers })),
  });
  const heapBefore = heapInUse();
  simulation.start();
  simulation.advance(options.warmUp);
  const heap = heapInUse() - heapBefore;
  const idle = measurePhase(simulation, meter, options);
  const trainers = plan.trainers.map((trainer) => new TrainerClient(simulation, trainer));
  const handedOver = countHandedOver(simulation);
  const phaseSeconds = options.phase / SECOND;
  const total = options.nodes * SAMPLES_PER_NODE_SECOND * phaseSeconds;
  const samples = Math.max(1, Math.round(total / trainers.length));
  for (const trainer of trainers) {
    trainer.submit({ samples, maxTokens: MAX_TOKENS, timeout: STEP_TIMEOUT });
  }
  const load = measurePhase(simulation, meter, options);
  return {
    nodes: options.nodes,
    workers: plan.workers.length,
    heap_kb_a_node: round(heap / options.nodes / 1_024, 1),
    groups: groupCount(simulation),
    idle,
    load,
    samples_asked: samples * trainers.length,
    samples_handed_over: handedOver(),
  };
}

/** All nodes in their first life: a fleet that has run for long, not one that starts at once. */
function firstLives(plan: FleetPlan): readonly NodeRecord[] {
  const regions = new Map(plan.zones.map((zone) => [zone.name, zone.region]));
  return plan.nodes.map((node) => {
    return { ...node, incarnation: 1, region: regions.get(node.zone) ?? '' };
  });
}

function measurePhase(
  simulation: Simulation,
  meter: FleetMeter,
  { nodes, phase }: FleetRunOptions,
): PhaseFigures {
  meter.reset();
  const started = processorMilliseconds();
  simulation.advance(phase);
  const used = processorMilliseconds() - started - meter.samplingMilliseconds;
  const rate = (count: number): number => round((count / nodes / phase) * SECOND, 4);
  const share = (milliseconds: number): number => round((100 * milliseconds) / phase / nodes, 4);
  const bytesByModule = new Map<string, number>();
  const messagesByKind = new Map<string, number>();
  let messages = 0;
  let bytes = 0;
  for (const [kind, figure] of meter.traffic()) {
    const module = kind.split(' ')[0] ?? '';
    messages += figure.count;
    bytes += figure.bytes;
    messagesByKind.set(kind, figure.count);
    bytesByModule.set(module, (bytesByModule.get(module) ?? 0) + figure.bytes);
  }
  const requests = meter.requestCounts();
  let keyValue = 0;
  for (const [kind, count] of requests) if (kind.startsWith('key-value')) keyValue += count;
  return {
    messages_per_second: rate(messages),
    bytes_per_second: rate(bytes),
    largest_bytes_per_second_of_a_node: round((meter.largestSender() / phase) * SECOND, 0),
    bytes_per_second_by_module: mapped(bytesByModule, rate),
    messages_per_second_by_kind: mapped(messagesByKind, rate),
    requests_per_second_by_kind: mapped(requests, rate),
    key_value_requests_per_second_of_fleet: round((keyValue / phase) * SECOND, 1),
    core_share_percent: share(meter.coreMilliseconds),
    core_share_with_simulator_percent: share(used),
    core_share_percent_by_event: mapped(meter.timeByEvent(), share),
  };
}

function mapped(
  values: ReadonlyMap<string, number>,
  transform: (value: number) => number,
): Readonly<Record<string, number>> {
  const entries = [...values].map(([name, value]): [string, number] => [name, transform(value)]);
  return Object.fromEntries(entries.sort((left, right) => right[1] - left[1]));
}

/** Counts the samples that trainers were handed from now on. */
function countHandedOver(simulation: Simulation): () => number {
  let samples = 0;
  simulation.addObserver((observation) => {
    if (observation.kind !== 'reply-sent' || observation.reply.kind !== 'done') return;
    const { body } = observation.reply;
    if (body.kind === 'step-page') samples += body.page.samples.length;
  });
  return () => samples;
}

function groupCount(simulation: Simulation): number {
  const groups = simulation.keyValue.performDirectly({
    kind: 'range',
    key: '/wardwing/feed/groups/',
    prefix: true,
  });
  return groups.kind === 'range' ? groups.entries.length : 0;
}
