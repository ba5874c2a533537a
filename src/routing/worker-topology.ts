/**
 * Which workers and nodes exist, which node is each worker's home, and which subset of the workers
 * this node follows. It rests on the machine list, live nodes, drains and the wanted models.
 */
import type { DrainRecord } from '../config-feed/configuration.js';
import type { ModelName, NodeRecord, WorkerId, ZoneName } from '../core/identity.js';
import type { MachineRecord, WorkerRecord } from '../platform/worker.js';
import { DrainIndex } from './drain-index.js';
import { type MachineIndex, machineIndexOf } from './machine-index.js';
import { subsetOf } from './worker-subset.js';
import { ZoneHomes } from './zone-homes.js';

/** A model this node routes for, and the zones it may use. */
export interface WantedModel {
  readonly model: ModelName;
  readonly zones: readonly ZoneName[];
  /** Samples of the steps this node drives with the model; widens its subsets. @default 0 */
  readonly samplesDriven?: number;
}

/** Samples in flight that a driver counts on a worker to take; widens the subsets of drivers. */
const SAMPLES_A_WORKER = 8;

/** The workers of one model and zone that this node follows. */
export interface WorkerSubset {
  readonly model: ModelName;
  readonly zone: ZoneName;
  readonly records: readonly WorkerRecord[];
}

/** Places of workers and nodes. Each update returns whether anything changed. */
export class WorkerTopology {
  readonly #self: NodeRecord;
  readonly #subsetSize: number;
  readonly #homes = new Map<ZoneName, ZoneHomes>();
  #index: MachineIndex = machineIndexOf([]);
  #drains = new DrainIndex([]);
  #wanted: readonly WantedModel[] = [];

  /** @param subsetSize most workers followed of one model and zone */
  constructor(self: NodeRecord, subsetSize: number) {
    this.#self = self;
    this.#subsetSize = subsetSize;
  }

  /** Takes in the machine list. */
  updateMachines(machines: readonly MachineRecord[]): boolean {
    const index = machineIndexOf(machines);
    if (index === this.#index) return false;
    this.#index = index;
    for (const homes of this.#homes.values()) {
      homes.retain((worker) => index.worker(worker) !== undefined);
    }
    return true;
  }

  /** Takes in the live nodes of the zones in use. */
  updateNodes(liveInZone: (zone: ZoneName) => readonly NodeRecord[]): boolean {
    const wantedZones = this.#wanted.flatMap((model) => model.zones);
    let changed = false;
    for (const zone of new Set([this.#self.zone, ...this.#homes.keys(), ...wantedZones])) {
      changed = this.#homesOf(zone).update(liveInZone(zone)) || changed;
    }
    return changed;
  }

  /** Takes in the operators' drains. */
  updateDrains(drains: readonly DrainRecord[]): boolean {
    if (this.#drains.isFor(drains)) return false;
    this.#drains = new DrainIndex(drains);
    return true;
  }

  /** Takes in the models this node routes for. */
  updateWanted(models: readonly WantedModel[]): boolean {
    if (wantedText(models) === wantedText(this.#wanted)) return false;
    this.#wanted = models;
    return true;
  }

  /** A worker of the machine list. */
  worker(worker: WorkerId): WorkerRecord | undefined {
    return this.#index.worker(worker)?.record;
  }

  /** A worker's home; `undefined` for an unknown worker or a zone without live nodes. */
  homeOf(worker: WorkerId): NodeRecord | undefined {
    const record = this.worker(worker);
    return record && this.#homes.get(record.zone)?.homeOf(worker);
  }

  /** Whether this node is a worker's home. */
  isHome(worker: WorkerId): boolean {
    return this.homeOf(worker)?.node === this.#self.node;
  }

  /** Whether a worker left the list, or machine list or operators say that it goes away. */
  isWithdrawn(worker: WorkerId): boolean {
    const indexed = this.#index.worker(worker);
    return indexed === undefined || indexed.machineLeaving || this.#drains.covers(indexed.record);
  }

  /** Workers whose home this node is, leaving ones included. */
  ownWorkers(): readonly WorkerRecord[] {
    return this.#index.inZone(this.#self.zone).filter((record) => this.isHome(record.worker));
  }

  /** Number of workers of a model and zone on live machines. */
  groupSize(model: ModelName, zone: ZoneName): number {
    return this.#index.inService(model, zone).length;
  }

  /** The subsets of all wanted models and zones. */
  subsets(): readonly WorkerSubset[] {
    return this.#wanted.flatMap(({ model, zones }) => {
      const size = this.#sizeFor(model);
      return zones.map((zone) => ({ model, zone, records: this.#subsetOf(model, zone, size) }));
    });
  }

  /** Workers followed in each zone: the same for all intents of a model. */
  #sizeFor(model: ModelName): number {
    const sizes = this.#wanted
      .filter((wanted) => wanted.model === model)
      .map(({ samplesDriven, zones }) => (samplesDriven ?? 0) / zones.length / SAMPLES_A_WORKER);
    return Math.max(this.#subsetSize, ...sizes.map(Math.ceil));
  }

  /** Clients of the ring are the nodes of this node's own zone. */
  #subsetOf(model: ModelName, zone: ZoneName, size: number): readonly WorkerRecord[] {
    const records = this.#drains.usable(this.#index.inService(model, zone));
    const homes = this.#homesOf(this.#self.zone);
    const rank = homes.rankOf(this.#self.node);
    if (rank !== undefined) return subsetOf(records, rank, homes.nodeCount, size);
    return subsetOf(records, homes.nodeCount, homes.nodeCount + 1, size);
  }

  #homesOf(zone: ZoneName): ZoneHomes {
    const known = this.#homes.get(zone);
    if (known !== undefined) return known;
    const homes = new ZoneHomes();
    this.#homes.set(zone, homes);
    return homes;
  }
}

function wantedText(models: readonly WantedModel[]): string {
  const textOf = ({ model, zones, samplesDriven }: WantedModel): string =>
    [model, samplesDriven ?? 0, ...zones].join('\n');
  return models.map(textOf).join('\n\n');
}
