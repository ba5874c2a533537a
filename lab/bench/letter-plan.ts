/**
 * Plans at the letter's proportions: 2,700 nodes, 10,000 workers of 8 accelerators, 19 trainers with
 * 16,384 samples a step, 18 M tokens a second at the peak. A plan is a share of it that holds either
 * all trainers with fewer samples, or fewer trainers with whole steps.
 */
import type { Intent } from '../../src/config-feed/configuration.js';
import type { WorkerRecord } from '../../src/platform/worker.js';
import type { FleetPlan, NodePlan, ZonePlan } from '../simulation/fleet-plan.js';
import { FLEET_ZONES } from './hollow-fleet.js';

/** The letter's size. */
export const LETTER = {
  nodes: 2_700,
  workers: 10_000,
  trainers: 19,
  samplesAStep: 16_384,
  stepLimitSeconds: 480,
  tokensPerSecond: 18_000_000,
} as const;

/** Sequences one hollow worker decodes at once. */
export const SLOTS = 16;

/**
 * Tokens behind one token of the emulated engine, so that a run makes less text. Times and counts
 * of tokens are those of the letter; a body is smaller by this factor.
 */
export const TOKENS_PER_UNIT = 32;

/** Bytes of text of one token of a model, and of one token of the emulated engine. */
const TEXT_BYTES = { token: 4, unit: 6.9 } as const;

/** What a byte of an emulated answer stands for: the node's limit of bodies shrinks as they do. */
export const BODY_SCALE = (TOKENS_PER_UNIT * TEXT_BYTES.token) / TEXT_BYTES.unit;

/** Share of each worker kept for interactive work. */
const RESERVED_SHARE = 0.25;

const BASE_PORT = 7_000;
const ADDRESSES_PER_HOST = 250;

/** Size of one run. */
export interface LetterShare {
  readonly nodes: number;
  readonly workers: number;
  readonly trainers: number;
  readonly samplesAStep: number;
  /** Zones used; more than one region only with all eight. */
  readonly zones: number;
}

/** One part in `divisor` of the letter: nodes, workers and samples a step, all trainers and zones. */
export function scaledShare(divisor: number): LetterShare {
  return {
    nodes: Math.round(LETTER.nodes / divisor),
    workers: Math.round(LETTER.workers / divisor),
    trainers: LETTER.trainers,
    samplesAStep: Math.round(LETTER.samplesAStep / divisor),
    zones: FLEET_ZONES.length,
  };
}

/** One trainer's part of the letter with its whole step, in the three zones of one region. */
export function wholeStepShare(nodes = Math.round(LETTER.nodes / LETTER.trainers)): LetterShare {
  return {
    nodes,
    workers: Math.round(LETTER.workers / LETTER.trainers),
    trainers: 1,
    samplesAStep: LETTER.samplesAStep,
    zones: 3,
  };
}

/** The plan of a share; `medianUnits` is the median length of a sample in emulated tokens. */
export function letterPlan(share: LetterShare, medianUnits: number): FleetPlan {
  const zones = FLEET_ZONES.slice(0, share.zones).map(({ zone, region }): ZonePlan => {
    return { name: zone, region };
  });
  const positions = Array.from({ length: share.trainers }, (_, position) => position);
  const regions = [...new Set(zones.map((zone) => zone.region))];
  const zonesOf = (position: number): readonly string[] => {
    const region = regions[position % regions.length];
    return zones.filter((zone) => zone.region === region).map((zone) => zone.name);
  };
  return {
    zones,
    nodes: Array.from({ length: share.nodes }, (_, position) => nodePlan(position, zones)),
    workers: Array.from({ length: share.workers }, (_, position) =>
      workerRecord(position, share.trainers, zonesOf),
    ),
    intents: positions.map((position) => intent(position, zonesOf(position))),
    models: positions.map(modelName),
    firstVersion: 1,
    trainers: positions.map((position) => {
      return { account: `trainer-${position}`, model: modelName(position) };
    }),
    callers: positions.map((position) => ({ account: 'broker-1', model: modelName(position) })),
    operators: ['operator-1'],
    latency: { insideZone: 0.2, betweenZones: 2, toClients: 3 },
    medianTokens: medianUnits,
  };
}

function modelName(position: number): string {
  return `model-${position}`;
}

function nodePlan(position: number, zones: readonly ZonePlan[]): NodePlan {
  const zone = zones[position % zones.length]?.name ?? '';
  const node = `${zone}-${Math.floor(position / zones.length)}`;
  return { node, zone, machine: `machine-${position}`, address: addressOf(0, position) };
}

/** Workers of one model lie in the zones of its intent, in turn. */
function workerRecord(
  position: number,
  trainers: number,
  zonesOf: (position: number) => readonly string[],
): WorkerRecord {
  const model = position % trainers;
  const zones = zonesOf(model);
  return {
    worker: `worker-${position}`,
    model: modelName(model),
    zone: zones[Math.floor(position / trainers) % zones.length] ?? '',
    address: addressOf(100, position),
    slots: SLOTS,
  };
}

function addressOf(network: number, position: number): string {
  const host = Math.floor(position / ADDRESSES_PER_HOST);
  return `10.${network}.${host}.${position % ADDRESSES_PER_HOST}:${BASE_PORT}`;
}

function intent(position: number, zones: readonly string[]): Intent {
  return {
    name: `intent-${position}`,
    trainer: `trainer-${position}`,
    model: modelName(position),
    zones,
    minimumVersion: 1,
    maximumVersion: null,
    stalenessBound: 1,
    versionSpan: 'record',
    interactive: { accounts: ['broker-1'], reservedShare: RESERVED_SHARE },
    cutOff: { kind: 'refuse' },
  };
}
