/**
 * Weight versions in an emulated engine's memory, and the fence that refuses orders of an older
 * controller epoch. All of it is lost with the process, also the highest epoch seen.
 */
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { WorkerOrder, WorkerOrderResult } from '../../src/platform/worker.js';

/** What weight memory needs to know. */
export interface WeightMemorySettings {
  readonly initialVersion: WeightVersion;
  readonly loadedVersionLimit: number;
}

/** A load that the weight store has not finished. */
export interface PendingLoad {
  readonly orderId: string;
  readonly version: WeightVersion;
  readonly finishAt: Milliseconds;
  readonly fails: boolean;
}

/** Versions in memory, the active one, and loads underway. */
export class WeightMemory {
  private readonly versions: WeightVersion[];
  private readonly loads: PendingLoad[] = [];
  private highestEpoch = 0;
  active: WeightVersion;

  constructor(private readonly settings: WeightMemorySettings) {
    this.active = settings.initialVersion;
    this.versions = [settings.initialVersion];
  }

  get epoch(): number {
    return this.highestEpoch;
  }

  get loaded(): readonly WeightVersion[] {
    return this.versions;
  }

  get pending(): readonly PendingLoad[] {
    return this.loads;
  }

  /** Refuses an older epoch; otherwise remembers this one. */
  fence(order: WorkerOrder): WorkerOrderResult | undefined {
    if (order.epoch < this.highestEpoch) {
      return { kind: 'refused-epoch', epoch: this.highestEpoch };
    }
    this.highestEpoch = order.epoch;
    return undefined;
  }

  has(version: WeightVersion): boolean {
    return this.versions.includes(version);
  }

  startLoad(load: PendingLoad): void {
    this.loads.push(load);
  }

  /** When the next load finishes. */
  nextFinishAt(): Milliseconds | undefined {
    if (this.loads.length === 0) return undefined;
    return Math.min(...this.loads.map((load) => load.finishAt));
  }

  /** Takes one load that has finished by `now`, and keeps its version unless it failed. */
  finishLoad(now: Milliseconds): PendingLoad | undefined {
    const position = this.loads.findIndex((load) => load.finishAt <= now);
    if (position < 0) return undefined;
    const [load] = this.loads.splice(position, 1);
    if (load !== undefined && !load.fails) this.keep(load.version);
    return load;
  }

  private keep(version: WeightVersion): void {
    if (this.has(version)) return;
    this.versions.push(version);
    this.versions.sort((left, right) => left - right);
    if (this.versions.length <= this.settings.loadedVersionLimit) return;
    const evicted = this.versions.findIndex((held) => held !== this.active && held !== version);
    if (evicted >= 0) this.versions.splice(evicted, 1);
  }
}
