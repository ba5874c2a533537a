/** The workers a node follows, by model and zone, and the candidate lists made of them. */
import {
  identityKey,
  type ModelName,
  type NodeIdentity,
  type WorkerId,
  type ZoneName,
} from '../core/identity.js';
import type { WorkerCandidate } from './worker-candidate.js';
import type { WorkerEntry } from './worker-entry.js';

/** The workers followed from one home. */
export interface WorkersOfHome {
  readonly home: NodeIdentity;
  readonly workers: WorkerId[];
}

/** Workers followed and ejected of one model, in one zone and in all zones. */
export interface GroupHealth {
  readonly zoneSize: number;
  readonly zoneEjected: number;
  readonly modelSize: number;
  readonly modelEjected: number;
}

/** Records of followed workers. */
export class FollowedWorkers {
  readonly #groups = new Map<ModelName, Map<ZoneName, readonly WorkerEntry[]>>();
  readonly #lists = new Map<string, readonly WorkerCandidate[]>();

  /** Sets the workers of one model and zone. */
  set(model: ModelName, zone: ZoneName, entries: readonly WorkerEntry[]): void {
    const zones = this.#groups.get(model) ?? new Map<ZoneName, readonly WorkerEntry[]>();
    this.#groups.set(model, zones);
    zones.set(zone, entries);
  }

  /** How many workers of a model are followed and ejected, in one zone and in all. */
  health(model: ModelName, zone: ZoneName): GroupHealth {
    const inZone = this.#group(model, zone);
    const inModel = [...(this.#groups.get(model)?.values() ?? [])].flat();
    return {
      zoneSize: inZone.length,
      zoneEjected: countEjected(inZone),
      modelSize: inModel.length,
      modelEjected: countEjected(inModel),
    };
  }

  /** Workers that are not leaving; the same array object until `clearLists`. */
  candidates(model: ModelName, zones: readonly ZoneName[]): readonly WorkerCandidate[] {
    const key = `${model}\n${zones.join('\n')}`;
    const known = this.#lists.get(key);
    if (known !== undefined) return known;
    const entries = [...new Set(zones)].flatMap((zone) => this.#group(model, zone));
    const list = entries.filter((entry) => !entry.isLeaving);
    this.#lists.set(key, list);
    return list;
  }

  /** Has candidate lists made anew, as some worker is leaving or came back. */
  clearLists(): void {
    this.#lists.clear();
  }

  /** Workers by the key of their home, without those whose home is the node itself. */
  byHome(self: NodeIdentity): ReadonlyMap<string, WorkersOfHome> {
    const homes = new Map<string, WorkersOfHome>();
    for (const entry of this.#entries()) {
      if (entry.home.node === self.node) continue;
      const key = identityKey(entry.home);
      const known = homes.get(key) ?? { home: entry.home, workers: [] };
      homes.set(key, known);
      known.workers.push(entry.record.worker);
    }
    return homes;
  }

  #group(model: ModelName, zone: ZoneName): readonly WorkerEntry[] {
    return this.#groups.get(model)?.get(zone) ?? [];
  }

  /** Each worker once, as two wanted models may name the same zone. */
  #entries(): ReadonlySet<WorkerEntry> {
    return new Set([...this.#groups.values()].flatMap((zones) => [...zones.values()].flat()));
  }
}

function countEjected(entries: readonly WorkerEntry[]): number {
  return entries.filter((entry) => entry.state === 'ejected').length;
}
