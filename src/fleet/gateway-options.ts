/** Options of a gateway: its identity, its settings and the ports to everything outside it. */
import type { NodeId, RegionName, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { PeerPort } from '../peers/peer-messages.js';
import type { ColdTolerance } from '../placement/cold-tolerance.js';
import type { Clock } from '../serving/clock.js';
import type { EnginePort } from '../serving/engine-port.js';
import type { SharedStore } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { FeedTranslation } from './fleet-feeds.js';
import type { SingletonTaskSettings } from './singleton-tasks.js';
import type { StorageDrainPort } from './storage-drains.js';

/** Time limits that the operator sets; a reload of the settings may change them. */
export interface FleetTimings {
  /** Minimum time between the orders of two successive coordinators. */
  readonly coordinatorHandOver: Milliseconds;
  /** Whether workers reject orders with a lower fencing token than they have seen. */
  readonly areTokensChecked: boolean;
  /** Time limit for a configuration change to take effect. */
  readonly changeBound: Milliseconds;
  /** Time limit for the evacuation of a zone to take effect. @default no limit */
  readonly evacuationBound?: Milliseconds | undefined;
  /** Time limit for a stop; the process is killed after it. */
  readonly stopLimit: Milliseconds;
  /** Time for which a job stays readable; only finished jobs are removed. */
  readonly jobRetention: Milliseconds;
}

/**
 * Factor of `changeBound` within which a connected node receives an answer from the store or a
 * relay, even if one of its relays fails.
 */
const MAX_CONTACT_GAP_FACTOR = 1.5;

/** A node that loses the store queries other nodes within 3 s. */
const MIN_EVACUATION_AGE_LIMIT: Milliseconds = 4_000;

/**
 * Age beyond which the cached evacuation state is too old to send work by; `undefined` for no
 * limit.
 */
export function evacuationAgeLimit(timings: FleetTimings): Milliseconds | undefined {
  const { evacuationBound, changeBound } = timings;
  if (evacuationBound === undefined) return undefined;
  return Math.max(evacuationBound, MAX_CONTACT_GAP_FACTOR * changeBound, MIN_EVACUATION_AGE_LIMIT);
}

export interface GatewayNodeOptions {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly store: SharedStore;
  readonly engine: EnginePort;
  readonly peers: PeerPort;
  /** Address at which other nodes reach this one. */
  readonly peerAddress: string;
  readonly feeds: FeedTranslation;
  /** Name, in lower case, of the stream field that reports a change of weights. */
  readonly versionField: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly timings: () => FleetTimings;
  readonly storageDrains: StorageDrainPort;
  /** Processor share of this machine, in cores of reference speed. @default 1 */
  readonly capacity?: number;
  /** Singleton tasks towards the operator's cloud interface. @default none */
  readonly singletonTasks?: SingletonTaskSettings;
  /**
   * Whether each zone serves its own callers, also while it is partitioned: the zone's nodes and,
   * as far as they have free slots, its workers run the jobs submitted there. @default false
   */
  readonly areZonesAutonomous?: boolean;
  /**
   * Journal replicas that store a job where zones are autonomous: one more than the number of disks
   * that may be lost at once. @default 0
   */
  readonly journalReplicas?: number;
  /** The region of each zone. @default one region */
  readonly zoneRegions?: ReadonlyMap<ZoneName, RegionName>;
  /** Requests that cold workers may be sent beyond their rated load. @default none */
  readonly coldTolerance?: ColdTolerance;
  /** Whether this is the first start of the whole fleet. @default false */
  readonly isFirstStart?: boolean;
}
