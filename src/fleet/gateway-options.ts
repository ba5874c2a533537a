/** What a gateway is made of: its identity, and the ports to everything outside it. */
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

/** Times that the operator sets and that may change while a process runs. */
export interface FleetTimings {
  /** Least time between orders of two coordinators. */
  readonly coordinatorHandOver: Milliseconds;
  /** Whether workers refuse orders under a lower fencing token than they have seen. */
  readonly areTokensChecked: boolean;
  /** Time in which a change of the configuration has to be in force. */
  readonly changeBound: Milliseconds;
  /** Time in which an evacuation of a zone has to be in force. @default nobody asks for one */
  readonly evacuationBound?: Milliseconds | undefined;
  /** Time between the request to stop and the forced end. */
  readonly stopLimit: Milliseconds;
  /** Time for which a job stays readable. */
  readonly jobRetention: Milliseconds;
}

/**
 * Multiple of the bound for a configuration within which a node that is in order hears from the store or
 * from a relay, whatever becomes of its relays.
 */
const LONGEST_CONTACT_PAUSE = 1.5;

/** A node to which the store falls silent asks the others within three seconds. */
const LEAST_EVACUATION_AGE: Milliseconds = 4_000;

/** Time without contact after which what a node knows of evacuations is too old to send work on. */
export function evacuationAgeLimit(timings: FleetTimings): Milliseconds | undefined {
  const { evacuationBound, changeBound } = timings;
  if (evacuationBound === undefined) return undefined;
  return Math.max(evacuationBound, LONGEST_CONTACT_PAUSE * changeBound, LEAST_EVACUATION_AGE);
}

/** Options of a gateway. */
export interface GatewayNodeOptions {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly store: SharedStore;
  readonly engine: EnginePort;
  readonly peers: PeerPort;
  /** Where other nodes reach this one. */
  readonly peerAddress: string;
  readonly feeds: FeedTranslation;
  /** Line by which an event tells a change of weights, in lower case. */
  readonly versionField: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  /** The times in force; a reload of the settings may change them. */
  readonly timings: () => FleetTimings;
  readonly storageDrains: StorageDrainPort;
  /** Processor share of this machine, in cores of ordinary speed. @default 1 */
  readonly capacity?: number;
  /** Duties towards the operator's cloud interface. @default none */
  readonly singletonTasks?: SingletonTaskSettings;
  /**
   * Whether each zone serves its own callers, also while it is cut off: jobs are run by nodes and,
   * as far as they have room, workers of the zone that they were handed in at. @default false
   */
  readonly areZonesAutonomous?: boolean;
  /**
   * Replicas of a zone's journal that keep a job, where zones serve their own callers: one more than
   * the machines with disks that may be lost at once. @default 0
   */
  readonly journalReplicas?: number;
  /** The region of each zone of the deployment. @default one region */
  readonly zoneRegions?: ReadonlyMap<ZoneName, RegionName>;
  /** What cold workers may be sent beyond what they bear. @default nothing */
  readonly coldTolerance?: ColdTolerance;
  /** Whether the whole fleet starts for the first time, now. @default false */
  readonly isFirstStart?: boolean;
}
