/**
 * What one node at a time does for the fleet, and every node's part in choosing it: the coordinator's
 * lock, the weights of workers, emptied storage nodes, and the duties towards the operator's cloud interface.
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

/** Time between two sweeps for jobs without a live owner. */
const SWEEP_INTERVAL: Milliseconds = 5_000;

/** Time between two looks for jobs that need not be kept. */
const REMOVAL_INTERVAL: Milliseconds = 60_000;

/** Options of {@link Coordination}. */
export interface CoordinationOptions {
  readonly node: GatewayNodeOptions;
  readonly self: JobOwner;
  readonly store: SharedStore;
  readonly fleet: FleetRegistry;
  readonly peers: FleetPeers;
  readonly registry: WorkerRegistry;
  readonly configuration: ActiveConfiguration;
  /** Whether the workers of a zone are sent no work for the time being. */
  readonly isEvacuated: (zone: ZoneName) => boolean;
  /** The zones or regions that serve their own callers; `undefined` where any node serves any caller. */
  readonly localities: Localities | undefined;
  /** Whether nothing that must last lies on a storage machine alone. */
  readonly isStorageEmpty: (node: NodeId) => Promise<boolean>;
  /** Finds jobs that nobody runs. */
  readonly takeOverUnownedJobs: () => void;
  /** Removes what need not be kept any longer. */
  readonly removeExpired: () => void;
}

/** One node's part in coordinating the fleet. */
export class Coordination {
  readonly lock: CoordinatorLock;
  readonly singletonTasks: SingletonTasks | undefined;
  private readonly rollout: WeightRollout;
  private readonly drains: StorageDrains;
  private readonly named = new Map<ModelName, NamedVersion>();
  private nextSweepAt: Milliseconds = 0;
  private nextRemovalAt: Milliseconds = REMOVAL_INTERVAL;

  constructor(private readonly options: CoordinationOptions) {
    const { node, fleet, configuration } = options;
    const { clock, log, timings, storageDrains: port } = node;
    const shared = { ...node, ...options };
    this.lock = new CoordinatorLock({
      ...shared,
      peers: node.peers,
      handOverDelay: () => timings().coordinatorHandOver,
      areTokensChecked: () => timings().areTokensChecked,
    });
    const { lock } = this;
    this.rollout = new WeightRollout({
      ...shared,
      lock,
      holder: node.node,
      namedVersions: this.named,
      noteChange: (change) => options.peers.broadcastWeightChange(change),
      isConfigured: (service) => configuration.services.some(({ name }) => name === service),
      isEvacuated: ({ record }) => options.isEvacuated(record.zone),
      localityOf: options.localities?.of,
      mode: () => (configuration.requiresSingleVersion ? 'wait' : 'keep'),
    });
    this.drains = new StorageDrains({ port, lock, log, isEmpty: options.isStorageEmpty });
    if (node.singletonTasks === undefined) return;
    this.singletonTasks = new SingletonTasks({
      ...shared,
      ...{ clock, lock, settings: node.singletonTasks },
      services: () => configuration.services,
      liveNodes: () => fleet.liveNodes().length,
      tell: (...usage) => options.peers.reportUsage(...usage),
      isFirstStart: node.isFirstStart ?? false,
    });
  }

  /** The node that coordinates, as far as this one knows. */
  get holder(): NodeId | undefined {
    return this.lock.holder;
  }

  /** Whether this node may act as the coordinator now. */
  get isActive(): boolean {
    return this.lock.fencingToken() !== undefined;
  }

  /** Begins to tell the holder of the duties what is counted here. */
  start(): void {
    this.singletonTasks?.start();
  }

  /** Regular work. */
  tick(): void {
    this.lock.tick();
    this.rollout.tick();
    this.drains.tick();
    this.singletonTasks?.tick();
    this.lookAfterJobs();
  }

  /** A trainer named a version. */
  noteNamedVersion(model: ModelName, version: WeightVersion): void {
    if (version <= (this.named.get(model)?.version ?? 0)) return;
    const { clock, log } = this.options.node;
    this.named.set(model, { version, namedAt: clock.now() });
    log.state('version-named', { model, version });
    this.rollout.tick();
  }

  /** A job needs weights of at least some version. */
  requireWeights(need: WeightNeed): void {
    this.rollout.requireWeights(need);
  }

  /** The operator asks for a storage node to be emptied. */
  drainStorage(node: NodeId): void {
    this.drains.request(node);
  }

  /** After the last request has ended: nothing that was counted is lost. */
  async finish(): Promise<void> {
    await this.singletonTasks?.finish();
  }

  private lookAfterJobs(): void {
    const { node, takeOverUnownedJobs: sweep, removeExpired } = this.options;
    const now = node.clock.now();
    if (!this.isActive) return;
    if (now >= this.nextSweepAt) {
      this.nextSweepAt = now + SWEEP_INTERVAL;
      sweep();
    }
    if (now >= this.nextRemovalAt) {
      this.nextRemovalAt = now + REMOVAL_INTERVAL;
      removeExpired();
    }
  }
}
