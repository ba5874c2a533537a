/**
 * Plans of large fleets: the letter's proportions (3.7 workers a node, 19 trainers, 8 zones in 3
 * regions) at any number of nodes. An intent stays in the zones of one region.
 */
import type { Intent } from '../../src/config-feed/configuration.js';
import type { WorkerRecord } from '../../src/platform/worker.js';
import type { FleetPlan, NodePlan, ZonePlan } from '../simulation/fleet-plan.js';
import { FLEET_ZONES } from './hollow-fleet.js';

/** Trainers, each with an intent and a model of its own. */
export const TRAINERS = 19;

/** Workers a node: 10,000 over 2,700. */
export const WORKERS_PER_NODE = 10_000 / 2_700;

const SLOTS = 16;
const MEDIAN_TOKENS = 16;
const BASE_PORT = 7_000;
const ADDRESSES_PER_HOST = 250;

const ZONES: readonly ZonePlan[] = FLEET_ZONES.map(({ zone, region }) => ({ name: zone, region }));
const REGIONS = [...new Set(ZONES.map((zone) => zone.region))];

/** The model of a trainer by its position. */
export function modelName(position: number): string {
  return `model-${position % TRAINERS}`;
}

/** A fleet of `nodes` nodes. */
export function fleetPlan(nodes: number): FleetPlan {
  const positions = Array.from({ length: TRAINERS }, (_, position) => position);
  return {
    zones: ZONES,
    nodes: Array.from({ length: nodes }, (_, position) => nodePlan(position)),
    workers: workerRecords(Math.round(nodes * WORKERS_PER_NODE)),
    intents: positions.map(intent),
    models: positions.map(modelName),
    firstVersion: 1,
    trainers: positions.map((position) => {
      return { account: `trainer-${position}`, model: modelName(position) };
    }),
    callers: [],
    operators: ['operator-1'],
    latency: { insideZone: 0.2, betweenZones: 2, toClients: 3 },
    medianTokens: MEDIAN_TOKENS,
  };
}

function zonesOf(position: number): readonly string[] {
  const region = REGIONS[position % REGIONS.length];
  return ZONES.filter((zone) => zone.region === region).map((zone) => zone.name);
}

function nodePlan(position: number): NodePlan {
  const zone = ZONES[position % ZONES.length]?.name ?? '';
  const node = `${zone}-${Math.floor(position / ZONES.length)}`;
  return { node, zone, machine: `machine-${position}`, address: addressOf(0, position) };
}

/** Workers of one model lie in the zones of its intent, in turn. */
function workerRecords(count: number): readonly WorkerRecord[] {
  return Array.from({ length: count }, (_, position) => {
    const model = position % TRAINERS;
    const zones = zonesOf(model);
    const zone = zones[Math.floor(position / TRAINERS) % zones.length] ?? '';
    return {
      worker: `worker-${position}`,
      model: modelName(model),
      zone,
      address: addressOf(100, position),
      slots: SLOTS,
    };
  });
}

function addressOf(network: number, position: number): string {
  const host = Math.floor(position / ADDRESSES_PER_HOST);
  return `10.${network}.${host}.${position % ADDRESSES_PER_HOST}:${BASE_PORT}`;
}

function intent(_unused: unknown, position: number): Intent {
  return {
    name: `intent-${position}`,
    trainer: `trainer-${position}`,
    model: modelName(position),
    zones: zonesOf(position),
    minimumVersion: 1,
    maximumVersion: null,
    stalenessBound: 1,
    versionSpan: 'record',
    interactive: { accounts: ['broker-1'], reservedShare: 0.25 },
    cutOff: { kind: 'refuse' },
  };
}
