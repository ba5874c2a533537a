/**
 * A deployment to be simulated: zones, nodes, workers, intents and the parties that use them.
 */
import type { Intent } from '../../src/config-feed/configuration.js';
import type {
  AccountName,
  ModelName,
  NodeId,
  RegionName,
  ZoneName,
} from '../../src/core/identity.js';
import type { TokenCount, WeightVersion } from '../../src/core/units.js';
import type { WorkerRecord } from '../../src/platform/worker.js';
import type { NetworkLatency } from './network.js';

/** A zone with its region. */
export interface ZonePlan {
  readonly name: ZoneName;
  readonly region: RegionName;
}

/** A node's place in the fleet. */
export interface NodePlan {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly machine: string;
  readonly address: string;
}

/** A whole deployment. */
export interface FleetPlan {
  readonly zones: readonly ZonePlan[];
  readonly nodes: readonly NodePlan[];
  readonly workers: readonly WorkerRecord[];
  /** Intents in the key-value service when the run starts. */
  readonly intents: readonly Intent[];
  readonly models: readonly ModelName[];
  readonly firstVersion: WeightVersion;
  readonly trainers: readonly TrainerPlan[];
  readonly callers: readonly CallerPlan[];
  readonly operators: readonly AccountName[];
  readonly latency: NetworkLatency;
  /** Median length of answers, in tokens, before a request's own limit. */
  readonly medianTokens: TokenCount;
}

/** A trainer with the model it draws from. */
export interface TrainerPlan {
  readonly account: AccountName;
  readonly model: ModelName;
}

/** An interactive caller with the model it asks. */
export interface CallerPlan {
  readonly account: AccountName;
  readonly model: ModelName;
}

/** The machine name of a worker. */
export function workerMachine(worker: WorkerRecord): string {
  return `machine-of-${worker.worker}`;
}

const ZONE_NAMES = ['abdali-hall', 'sweifieh-hall', 'marka-hall'] as const;

const NODES_PER_ZONE = 3;

const BROKERS: readonly AccountName[] = ['broker-1', 'broker-2'];

function zones(): ZonePlan[] {
  return ZONE_NAMES.map((name) => ({ name, region: 'amman' }));
}

function nodes(nodesPerZone: number): NodePlan[] {
  return ZONE_NAMES.flatMap((zone, zoneIndex) =>
    Array.from({ length: nodesPerZone }, (_, index) => ({
      node: `${zone}-${index + 1}`,
      zone,
      machine: `machine-${zone}-${index + 1}`,
      address: `127.0.0.${zoneIndex + 1}:${7_401 + index}`,
    })),
  );
}

function workers(model: ModelName, perZone: number, slots: number, port: number): WorkerRecord[] {
  return ZONE_NAMES.flatMap((zone, zoneIndex) =>
    Array.from({ length: perZone }, (_, index) => ({
      worker: `${model}-${zone}-${index + 1}`,
      model,
      zone,
      address: `127.0.0.${zoneIndex + 1}:${port + index}`,
      slots,
    })),
  );
}

function intent(
  name: string,
  model: ModelName,
  trainer: AccountName | null,
  zoneNames: readonly ZoneName[],
): Intent {
  return {
    name,
    trainer,
    model,
    zones: zoneNames,
    minimumVersion: 1,
    maximumVersion: null,
    stalenessBound: 1,
    versionSpan: 'record',
    interactive: { accounts: BROKERS, reservedShare: 0.25 },
    cutOff: { kind: 'refuse' },
  };
}

/** Median length of answers where a run has no need of long ones. */
export const SHORT_ANSWERS: TokenCount = 16;

/**
 * The association of the brief: three zones, a model for samples, one for interactive lookups, a
 * trainer that may use all zones and one that must stay in two of them.
 */
export function associationPlan(medianTokens: TokenCount = SHORT_ANSWERS): FleetPlan {
  return {
    zones: zones(),
    nodes: nodes(NODES_PER_ZONE),
    workers: [...workers('model-bench', 2, 4, 8_101), ...workers('member-portal', 1, 4, 8_201)],
    intents: [
      intent('clause-summaries', 'model-bench', 'trainer-pricing', ZONE_NAMES),
      intent('claim-notes', 'model-bench', 'trainer-claims', ['abdali-hall', 'marka-hall']),
      intent('portal', 'member-portal', null, ZONE_NAMES),
    ],
    models: ['model-bench', 'member-portal'],
    firstVersion: 1,
    trainers: [
      { account: 'trainer-pricing', model: 'model-bench' },
      { account: 'trainer-claims', model: 'model-bench' },
    ],
    callers: BROKERS.map((account) => ({ account, model: 'member-portal' })),
    operators: ['operator-1', 'operator-2'],
    latency: { insideZone: 0.2, betweenZones: 0.5, toClients: 3 },
    medianTokens,
  };
}
