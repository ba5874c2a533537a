/**
 * Computes the home node of each worker and the subset of workers that this node follows, from the
 * machine list, the live nodes, the drains and the models that this node routes for.
 */
import type { DrainRecord } from '../config-feed/configuration.js';
import type { ModelName, NodeRecord, WorkerId, ZoneName } from '../core/identity.js';
import type { MachineRecord, WorkerRecord } from '../platform/worker.js';
import { DrainIndex } from './drain-index.js';
import { type MachineIndex, machineIndexOf } from './machine-index.js';
import { subsetOf } from './worker-subset.js';
import { ZoneHomes } from './zone-homes.js';

/** A model that this node routes for, and the zones it may use. */
export interface RoutedModel {
  readonly model: ModelName;
  readonly zones: readonly ZoneName[];
  /** Samples in the steps that this node drives with the model; enlarges its subsets. @default 0 */
  readonly samplesDriven?: number;
}

/** Samples driven per followed worker; determines how many workers a node follows in each zone. */
const SAMPLES_PER_WORKER = 8;

/** The followed workers of one model and zone. */
export interface WorkerSubset {
  readonly model: ModelName;
  readonly zone: ZoneName;
  readonly records: readonly WorkerRecord[];
}

/** Topology of workers and nodes. Each update returns whether anything changed. */
export class WorkerTopology {
  readonly #self: NodeRecord;
  readonly #subsetSize: number;
  readonly #homes = new Map<ZoneName, ZoneHomes>();
  #index: MachineIndex = machineIndexOf([]);
  #drains = new DrainIndex([]);
  #routedModels: readonly RoutedModel[] = [];

  /** @param subsetSize maximum size of a subset; step drivers may have larger ones */
  constructor(self: NodeRecord, subsetSize: number) {
    this.#self = self;
    this.#subsetSize = subsetSize;
  }

  updateMachines(machines: readonly MachineRecord[]): boolean {
    const index = machineIndexOf(machines);
    if (index === this.#index) return false;
    this.#index = index;
    for (const homes of this.#homes.values()) {
      homes.retain((worker) => index.worker(worker) !== undefined);
    }
    return true;
  }

  /** Applies the live nodes of the zones in use. */
  updateNodes(liveInZone: (zone: ZoneName) => readonly NodeRecord[]): boolean {
    const routedZones = this.#routedModels.flatMap((model) => model.zones);
    let changed = false;
    for (const zone of new Set([this.#self.zone, ...this.#homes.keys(), ...routedZones])) {
      changed = this.#homesOf(zone).update(liveInZone(zone)) || changed;
    }
    return changed;
  }

  updateDrains(drains: readonly DrainRecord[]): boolean {
    if (this.#drains.isFor(drains)) return false;
    this.#drains = new DrainIndex(drains);
    return true;
  }

  updateRoutedModels(models: readonly RoutedModel[]): boolean {
    if (routedModelsKey(models) === routedModelsKey(this.#routedModels)) return false;
    this.#routedModels = models;
    return true;
  }

  /** A worker of the machine list; `undefined` for an unknown one. */
  worker(worker: WorkerId): WorkerRecord | undefined {
    return this.#index.worker(worker)?.record;
  }

  /** The home of a worker; `undefined` for an unknown worker or a zone without live nodes. */
  homeOf(worker: WorkerId): NodeRecord | undefined {
    const record = this.worker(worker);
    return record && this.#homes.get(record.zone)?.homeOf(worker);
  }

  isHome(worker: WorkerId): boolean {
    return this.homeOf(worker)?.node === this.#self.node;
  }

  /** Whether a worker is not listed, or its machine or an operator removes it. */
  isWithdrawn(worker: WorkerId): boolean {
    const indexed = this.#index.worker(worker);
    return indexed === undefined || indexed.machineLeaving || this.#drains.covers(indexed.record);
  }

  /** Workers whose home is this node, including leaving ones. */
  ownWorkers(): readonly WorkerRecord[] {
    return this.#index.inZone(this.#self.zone).filter((record) => this.isHome(record.worker));
  }

  /** Number of workers of a model and zone on live machines. */
  groupSize(model: ModelName, zone: ZoneName): number {
    return this.#index.inService(model, zone).length;
  }

  /** The subsets of all routed models and zones. */
  subsets(): readonly WorkerSubset[] {
    return this.#routedModels.flatMap(({ model, zones }) => {
      const size = this.#sizeFor(model);
      return zones.map((zone) => ({ model, zone, records: this.#subsetOf(model, zone, size) }));
    });
  }

  /** Subset size in each zone; the same for all intents of a model. */
  #sizeFor(model: ModelName): number {
    const sizes = this.#routedModels
      .filter((routed) => routed.model === model)
      .map(({ samplesDriven, zones }) => (samplesDriven ?? 0) / zones.length / SAMPLES_PER_WORKER);
    return Math.max(this.#subsetSize, ...sizes.map(Math.ceil));
  }

  /** The clients of the ring are the nodes of this node's zone. */
  #subsetOf(model: ModelName, zone: ZoneName, size: number): readonly WorkerRecord[] {
    const records = this.#drains.usable(this.#index.inService(model, zone));
    const homes = this.#homesOf(this.#self.zone);
    const rank = homes.rankOf(this.#self.node);
    if (rank !== undefined) return subsetOf(records, rank, homes.nodeCount, size);
    return subsetOf(records, homes.nodeCount, homes.nodeCount + 1, size);
  }

  #homesOf(zone: ZoneName): ZoneHomes {
    const existing = this.#homes.get(zone);
    if (existing !== undefined) return existing;
    const homes = new ZoneHomes();
    this.#homes.set(zone, homes);
    return homes;
  }
}

function routedModelsKey(models: readonly RoutedModel[]): string {
  const textOf = ({ model, zones, samplesDriven }: RoutedModel): string =>
    [model, samplesDriven ?? 0, ...zones].join('\n');
  return models.map(textOf).join('\n\n');
}
