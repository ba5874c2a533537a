/** The job modules of one node, connected as in a gateway. */

import { NO_PEERS } from '../../lab/common/no-peers.js';
import { ItemDispatcher } from '../../src/jobs/item-dispatcher.js';
import type { JobPeers } from '../../src/jobs/job-peers.js';
import { JobReader } from '../../src/jobs/job-reader.js';
import type { JobOwner } from '../../src/jobs/job-records.js';
import { JobService } from '../../src/jobs/job-service.js';
import { JobStore } from '../../src/jobs/job-store.js';
import type { ZoneJournals } from '../../src/journal/zone-journals.js';
import type { JobResidency } from '../../src/placement/job-residency.js';
import type { SendRules } from '../../src/placement/send-rules.js';
import type { DistanceBetween } from '../../src/placement/zone-topology.js';
import { type Clock, PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { EnginePort } from '../../src/serving/engine-port.js';
import type { RequestQuarantine } from '../../src/serving/request-quarantine.js';
import { RouteMatcher } from '../../src/serving/route-matcher.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import type { SharedStore } from '../../src/shared-store/shared-store.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import {
  configuration,
  quarantine,
  recordingLog,
  route,
  ScriptedEngine,
  VERSION_FIELD,
} from '../serving/serving-fixtures.js';

/** The job modules of one node. */
export interface JobNode {
  readonly service: JobService;
  readonly dispatcher: ItemDispatcher;
  readonly registry: WorkerRegistry;
  readonly quarantine: RequestQuarantine;
  readonly metrics: FleetMetrics;
  readonly lines: readonly string[];
}

export const JOB_ROUTE = route({
  name: 'rollouts',
  host: 'trainer.example',
  pathPrefix: '/rollouts/',
  kind: 'batch',
  resumable: true,
});

export const SCORE_ROUTE = route({
  name: 'scores',
  host: 'scorer.example',
  pathPrefix: '/score/',
  maxAttempts: 3,
  targetLatency: 80,
  timeout: 1_500,
  targets: [{ service: 'scorers', weight: 1 }],
});

/** Optional parts of a job node. */
export interface JobNodeExtras {
  /** The zone of the node. @default 'zone-1' */
  readonly zone?: string;
  /** @default the clocks of this process */
  readonly clock?: Clock;
  readonly journals?: ZoneJournals;
  readonly isWriterLive?: (writer: string) => boolean;
  /** Whether the store is unreachable from the node. @default it is */
  readonly isStoreUnreachable?: () => boolean;
  /** The routes in force. @default {@link JOB_ROUTE} and {@link SCORE_ROUTE} */
  readonly routes?: () => RouteMatcher;
  /** Which workers may be sent work. @default all */
  readonly rules?: SendRules;
  /** Which nodes may store a job. @default all */
  readonly residency?: JobResidency;
  /** Distances between zones. @default all zones are in one region */
  readonly distanceBetween?: DistanceBetween;
}

/** Creates the job modules of a node. */
export function jobNode(
  emulator: SharedStore,
  self: JobOwner,
  engine: EnginePort = new ScriptedEngine(),
  peers: JobPeers = NO_PEERS,
  extras: JobNodeExtras = {},
): JobNode {
  const {
    zone = 'zone-1',
    clock = PROCESS_CLOCK,
    journals,
    isWriterLive = () => true,
    isStoreUnreachable = () => true,
    residency,
  } = extras;
  const { log, lines } = recordingLog();
  const metrics = new FleetMetrics();
  const registry = new WorkerRegistry(extras.rules, extras.distanceBetween);
  const matcher = new RouteMatcher(configuration([JOB_ROUTE, SCORE_ROUTE]));
  const { routes = (): RouteMatcher => matcher } = extras;
  const store = new JobStore(emulator, clock);
  const shared = { clock, log, metrics, routes };
  const ownQuarantine = quarantine((worker) => engine.probeLiveness(worker, '/health'), clock);
  const dispatcher = new ItemDispatcher({
    ...shared,
    engine,
    versionField: VERSION_FIELD,
    registry,
    quarantine: ownQuarantine,
    isStoreUnreachable,
    zone,
  });
  const reader = new JobReader(
    store,
    (...request) => peers.ownerListing(...request),
    (job) => peers.likelyOwners(job),
    journals,
    residency,
  );
  const options = {
    ...shared,
    ...{ store, reader, peers, dispatcher, self },
    zone,
    retention: () => 60_000,
    ...{ journals, residency, isWriterLive, canRecover: () => journals !== undefined },
  };
  return {
    service: new JobService(options),
    dispatcher,
    registry,
    quarantine: ownQuarantine,
    metrics,
    lines,
  };
}

/** Runs the periodic work of a node until the timer is cleared. */
export function keepWorking(node: JobNode): NodeJS.Timeout {
  return setInterval(() => {
    node.service.tick();
    node.dispatcher.tick();
  }, 5);
}

/** Runs the periodic work of a node until a condition holds. */
export async function workUntil(node: JobNode, holds: () => boolean): Promise<void> {
  const ticker = keepWorking(node);
  await eventually(holds).finally(() => clearInterval(ticker));
}

/** Whether a node no longer runs its first job. */
export const isFinished = (node: JobNode) => (): boolean =>
  node.service.ownedJobs()[0]?.isOpen === false;
