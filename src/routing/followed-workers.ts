/** The workers whose load a node follows, by model and zone, and the candidate lists built from them. */
import {
  identityKey,
  type ModelName,
  type NodeIdentity,
  type WorkerId,
  type ZoneName,
} from '../core/identity.js';
import type { WorkerCandidate } from './worker-candidate.js';
import type { WorkerEntry } from './worker-entry.js';

/** Followed workers with the same home node. */
export interface WorkersOfHome {
  readonly home: NodeIdentity;
  readonly workers: WorkerId[];
}

/** Numbers of followed and of ejected workers of one model, in one zone and in all zones. */
export interface GroupHealth {
  readonly zoneSize: number;
  readonly zoneEjected: number;
  readonly modelSize: number;
  readonly modelEjected: number;
}

export class FollowedWorkers {
  readonly #groups = new Map<ModelName, Map<ZoneName, readonly WorkerEntry[]>>();
  readonly #lists = new Map<string, readonly WorkerCandidate[]>();

  /** Sets the workers of one model and zone. */
  set(model: ModelName, zone: ZoneName, entries: readonly WorkerEntry[]): void {
    const zones = this.#groups.get(model) ?? new Map<ZoneName, readonly WorkerEntry[]>();
    this.#groups.set(model, zones);
    zones.set(zone, entries);
  }

  /** Counts the followed and the ejected workers of a model, in one zone and in all zones. */
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

  /** Workers that are not leaving; returns the same array object until `clearLists`. */
  candidates(model: ModelName, zones: readonly ZoneName[]): readonly WorkerCandidate[] {
    const key = `${model}\n${zones.join('\n')}`;
    const cached = this.#lists.get(key);
    if (cached !== undefined) return cached;
    const entries = [...new Set(zones)].flatMap((zone) => this.#group(model, zone));
    const list = entries.filter((entry) => !entry.isLeaving);
    this.#lists.set(key, list);
    return list;
  }

  /** Invalidates the cached candidate lists after a worker entered or left the state `leaving`. */
  clearLists(): void {
    this.#lists.clear();
  }

  /** Workers grouped by `identityKey` of their home, without those whose home is this node. */
  byHome(self: NodeIdentity): ReadonlyMap<string, WorkersOfHome> {
    const homes = new Map<string, WorkersOfHome>();
    for (const entry of this.#entries()) {
      if (entry.home.node === self.node) continue;
      const key = identityKey(entry.home);
      const group = homes.get(key) ?? { home: entry.home, workers: [] };
      homes.set(key, group);
      group.workers.push(entry.record.worker);
    }
    return homes;
  }

  #group(model: ModelName, zone: ZoneName): readonly WorkerEntry[] {
    return this.#groups.get(model)?.get(zone) ?? [];
  }

  /** Each worker once, as two routed models may name the same zone. */
  #entries(): ReadonlySet<WorkerEntry> {
    return new Set([...this.#groups.values()].flatMap((zones) => [...zones.values()].flat()));
  }
}

function countEjected(entries: readonly WorkerEntry[]): number {
  return entries.filter((entry) => entry.state === 'ejected').length;
}
