/** Index of the workers of a machine list by name, by zone, and by model and zone. */
import { placementHash } from '../core/hashing.js';
import type { ModelName, WorkerId, ZoneName } from '../core/identity.js';
import type { MachineRecord, WorkerRecord } from '../platform/worker.js';

export interface IndexedWorker {
  readonly record: WorkerRecord;
  readonly machineLeaving: boolean;
}

export class MachineIndex {
  readonly #workers = new Map<WorkerId, IndexedWorker>();
  readonly #byZone = new Map<ZoneName, WorkerRecord[]>();
  readonly #inService = new Map<ModelName, Map<ZoneName, WorkerRecord[]>>();

  constructor(machines: readonly MachineRecord[]) {
    for (const machine of machines) {
      for (const record of machine.workers) this.#add(machine, record);
    }
    this.#sortByHash();
  }

  worker(worker: WorkerId): IndexedWorker | undefined {
    return this.#workers.get(worker);
  }

  /** All workers of a zone, including those of leaving machines. */
  inZone(zone: ZoneName): readonly WorkerRecord[] {
    return this.#byZone.get(zone) ?? [];
  }

  /** Workers of a model and zone on live machines, in the same order on all nodes. */
  inService(model: ModelName, zone: ZoneName): readonly WorkerRecord[] {
    return this.#inService.get(model)?.get(zone) ?? [];
  }

  /** Skips a worker whose zone differs from that of its machine, as its zone is uncertain. */
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

  /** Sorts by hash, so that neighbours rarely share a machine. */
  #sortByHash(): void {
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

const indexByList = new WeakMap<readonly MachineRecord[], MachineIndex>();

/** The index of a list, cached by the array object. */
export function machineIndexOf(machines: readonly MachineRecord[]): MachineIndex {
  const cached = indexByList.get(machines);
  if (cached !== undefined) return cached;
  const index = new MachineIndex(machines);
  indexByList.set(machines, index);
  return index;
}
