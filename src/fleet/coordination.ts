/**
 * This node's part in the singleton tasks of the fleet: election of the coordinator, weight
 * rollouts, storage drains and the tasks on the operator's cloud interface.
 */
import type { ModelName, NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { WeightNeed } from '../jobs/job-peers.js';
import type { JobOwner } from '../jobs/job-records.js';
import type { Localities } from '../placement/locality.js';
import type { ActiveConfiguration } from '../serving/active-configuration.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';
import type { SharedStore } from '../shared-store/shared-store.js';
import { CoordinatorLock } from './coordinator-lock.js';
import type { FleetPeers } from './fleet-peers.js';
import type { FleetRegistry } from './fleet-registry.js';
import type { GatewayNodeOptions } from './gateway-options.js';
import { SingletonTasks } from './singleton-tasks.js';
import { StorageDrains } from './storage-drains.js';
import { type NamedVersion, WeightRollout } from './weight-rollout.js';

const UNOWNED_JOB_SCAN_INTERVAL: Milliseconds = 5_000;

const EXPIRED_REMOVAL_INTERVAL: Milliseconds = 60_000;

export interface CoordinationOptions {
  readonly node: GatewayNodeOptions;
  readonly self: JobOwner;
  readonly store: SharedStore;
  readonly fleet: FleetRegistry;
  readonly peers: FleetPeers;
  readonly registry: WorkerRegistry;
  readonly configuration: ActiveConfiguration;
  /** Whether a zone is evacuated, so that its workers receive no work. */
  readonly isEvacuated: (zone: ZoneName) => boolean;
  /** The zones or regions that serve their own callers; `undefined` if all nodes serve all. */
  readonly localities: Localities | undefined;
  /** Whether a storage node that is being drained can be removed without loss. */
  readonly isStorageEmpty: (node: NodeId) => Promise<boolean>;
  /** Scans for jobs without a live owner and has them taken over. */
  readonly takeOverUnownedJobs: () => void;
  /** Removes expired jobs and crash records. */
  readonly removeExpired: () => void;
}

/** Competes for the coordinator lock and runs the singleton tasks while this node holds it. */
export class Coordination {
  readonly lock: CoordinatorLock;
  readonly singletonTasks: SingletonTasks | undefined;
  private readonly rollout: WeightRollout;
  private readonly drains: StorageDrains;
  private readonly namedVersions = new Map<ModelName, NamedVersion>();
  private nextUnownedJobScanAt: Milliseconds = 0;
  private nextRemovalAt: Milliseconds = EXPIRED_REMOVAL_INTERVAL;

  constructor(private readonly options: CoordinationOptions) {
    const { node, fleet, configuration } = options;
    const { clock, log, timings, storageDrains: port } = node;
    const shared = { ...node, ...options };
    this.lock = new CoordinatorLock({
      ...shared,
      peers: node.peers,
      transferDelay: () => timings().coordinatorHandOver,
      areTokensChecked: () => timings().areTokensChecked,
    });
    const { lock } = this;
    this.rollout = new WeightRollout({
      ...shared,
      lock,
      holder: node.node,
      namedVersions: this.namedVersions,
      noteChange: (change) => options.peers.broadcastWeightChange(change),
      isConfigured: (service) => configuration.services.some(({ name }) => name === service),
      isEvacuated: ({ record }) => options.isEvacuated(record.zone),
      localityOf: options.localities?.of,
      orderMode: () => (configuration.requiresSingleVersion ? 'wait' : 'keep'),
    });
    this.drains = new StorageDrains({ port, lock, clock, log, isEmpty: options.isStorageEmpty });
    if (node.singletonTasks === undefined) return;
    this.singletonTasks = new SingletonTasks({
      ...shared,
      ...{ clock, lock, settings: node.singletonTasks },
      services: () => configuration.services,
      liveNodes: () => fleet.liveNodes().length,
      sendCounts: (...usage) => options.peers.reportUsage(...usage),
      isFirstStart: node.isFirstStart ?? false,
    });
  }

  /** The coordinator according to this node's cached state. */
  get holder(): NodeId | undefined {
    return this.lock.holder;
  }

  /** Whether this node holds a valid fencing token. */
  get isActive(): boolean {
    return this.lock.fencingToken() !== undefined;
  }

  /** Starts to report usage to the coordinator. */
  start(): void {
    this.singletonTasks?.start();
  }

  /** Runs the periodic work that is due. */
  tick(): void {
    this.lock.tick();
    this.rollout.tick();
    this.drains.tick();
    this.singletonTasks?.tick();
    this.maintainJobs();
  }

  /** Records a weight version that a trainer named and starts its rollout. */
  noteNamedVersion(model: ModelName, version: WeightVersion): void {
    if (version <= (this.namedVersions.get(model)?.version ?? 0)) return;
    const { clock, log } = this.options.node;
    this.namedVersions.set(model, { version, namedAt: clock.now() });
    log.state('version-named', { model, version });
    this.rollout.tick();
  }

  /** Requests weights of at least some version for a job. */
  requireWeights(need: WeightNeed): void {
    this.rollout.requireWeights(need);
  }

  /** Starts to drain a storage node. */
  drainStorage(node: NodeId): void {
    this.drains.request(node);
  }

  /** Sends the usage counts that are still buffered; called after the last request has ended. */
  async finish(): Promise<void> {
    await this.singletonTasks?.finish();
  }

  private maintainJobs(): void {
    const { node, takeOverUnownedJobs, removeExpired } = this.options;
    const now = node.clock.now();
    if (!this.isActive) return;
    if (now >= this.nextUnownedJobScanAt) {
      this.nextUnownedJobScanAt = now + UNOWNED_JOB_SCAN_INTERVAL;
      takeOverUnownedJobs();
    }
    if (now >= this.nextRemovalAt) {
      this.nextRemovalAt = now + EXPIRED_REMOVAL_INTERVAL;
      removeExpired();
    }
  }
}
