/** Workers of a machine list, by name, by zone, and by model and zone. */
import { placementHash } from '../core/hashing.js';
import type { ModelName, WorkerId, ZoneName } from '../core/identity.js';
import type { MachineRecord, WorkerRecord } from '../platform/worker.js';

/** A worker of the list and whether its machine is leaving. */
export interface IndexedWorker {
  readonly record: WorkerRecord;
  readonly machineLeaving: boolean;
}

/** An immutable index of one machine list. */
export class MachineIndex {
  readonly #workers = new Map<WorkerId, IndexedWorker>();
  readonly #byZone = new Map<ZoneName, WorkerRecord[]>();
  readonly #inService = new Map<ModelName, Map<ZoneName, WorkerRecord[]>>();

  constructor(machines: readonly MachineRecord[]) {
    for (const machine of machines) {
      for (const record of machine.workers) this.#add(machine, record);
    }
    this.#sortRings();
  }

  /** A worker by name. */
  worker(worker: WorkerId): IndexedWorker | undefined {
    return this.#workers.get(worker);
  }

  /** All workers of a zone, those of leaving machines included. */
  inZone(zone: ZoneName): readonly WorkerRecord[] {
    return this.#byZone.get(zone) ?? [];
  }

  /** Workers of a model and zone on live machines, in an order that all nodes agree on. */
  inService(model: ModelName, zone: ZoneName): readonly WorkerRecord[] {
    return this.#inService.get(model)?.get(zone) ?? [];
  }

  /** A worker said to be in another zone than its machine is left out: its place is not known. */
  #add(machine: MachineRecord, record: WorkerRecord): void {
    if (record.zone !== machine.zone) return;
    const machineLeaving = machine.state === 'leaving';
    this.#workers.set(record.worker, { record, machineLeaving });
    append(this.#byZone, record.zone, record);
    if (machineLeaving) return;
    const zones = this.#inService.get(record.model) ?? new Map<ZoneName, WorkerRecord[]>();
    this.#inService.set(record.model, zones);
    append(zones, record.zone, record);
  }

  /** By hash, so that neighbours in the order seldom share a machine. */
  #sortRings(): void {
    for (const zones of this.#inService.values()) {
      for (const [zone, records] of zones) zones.set(zone, sortedByHash(records));
    }
  }
}

function append(lists: Map<string, WorkerRecord[]>, name: string, record: WorkerRecord): void {
  const list = lists.get(name);
  if (list === undefined) lists.set(name, [record]);
  else list.push(record);
}

function sortedByHash(records: readonly WorkerRecord[]): WorkerRecord[] {
  const entries = records.map((record) => ({ record, hash: placementHash(record.worker) }));
  entries.sort(
    (left, right) => left.hash - right.hash || (left.record.worker < right.record.worker ? -1 : 1),
  );
  return entries.map((entry) => entry.record);
}

const indexes = new WeakMap<readonly MachineRecord[], MachineIndex>();

/** The index of a list; nodes that share one list object in a process share the index. */
export function machineIndexOf(machines: readonly MachineRecord[]): MachineIndex {
  const known = indexes.get(machines);
  if (known !== undefined) return known;
  const index = new MachineIndex(machines);
  indexes.set(machines, index);
  return index;
}
