/**
 * Weight versions in an emulated engine's memory, and the fence that refuses orders of an older
 * controller epoch. All of it is lost with the process, also the highest epoch seen.
 */
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { EngineOrder, EngineRole, WorkerOrderResult } from '../../src/platform/worker.js';

/** What weight memory needs to know. */
export interface WeightMemorySettings {
  readonly initialVersion: WeightVersion;
  readonly loadedVersionLimit: number;
}

/** What is loaded: a weight version or an adapter. */
export type LoadAction = Extract<EngineOrder['action'], { kind: 'load' | 'load-adapter' }>;

/** A load underway. */
export interface PendingLoad {
  readonly orderId: string;
  readonly action: LoadAction;
  /** `Infinity` where the end is told from outside; see {@link WeightMemory.takeLoad}. */
  readonly finishAt: Milliseconds;
  readonly fails: boolean;
}

/** Versions in memory, the active one, and loads underway. */
export class WeightMemory {
  private readonly versions: WeightVersion[];
  private readonly loads: PendingLoad[] = [];
  private readonly adapterNames = new Set<string>();
  private highestEpoch = 0;
  role: EngineRole = 'mixed';
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

  get adapters(): readonly string[] {
    return [...this.adapterNames];
  }

  get pending(): readonly PendingLoad[] {
    return this.loads;
  }

  /** Refuses an older epoch; otherwise remembers this one. */
  fence(order: Pick<EngineOrder, 'epoch'>): WorkerOrderResult | undefined {
    if (order.epoch < this.highestEpoch) {
      return { kind: 'refused-epoch', epoch: this.highestEpoch };
    }
    this.highestEpoch = order.epoch;
    return undefined;
  }

  has(version: WeightVersion): boolean {
    return this.versions.includes(version);
  }

  /** Whether a load has nothing left to do. */
  holds(action: LoadAction): boolean {
    if (action.kind === 'load') return this.has(action.version);
    return this.adapterNames.has(action.adapter);
  }

  startLoad(load: PendingLoad): void {
    this.loads.push(load);
  }

  /** When the next load finishes. */
  nextFinishAt(): Milliseconds | undefined {
    if (this.loads.length === 0) return undefined;
    const at = Math.min(...this.loads.map((load) => load.finishAt));
    return Number.isFinite(at) ? at : undefined;
  }

  /** Takes one load that has finished by `now`. */
  takeFinished(now: Milliseconds): PendingLoad | undefined {
    return this.take((load) => load.finishAt <= now);
  }

  /** Takes the load of one order; `undefined` where it is not underway. */
  takeLoad(orderId: string): PendingLoad | undefined {
    return this.take((load) => load.orderId === orderId);
  }

  /** Keeps what was loaded. */
  keepLoaded(action: LoadAction): void {
    if (action.kind === 'load') this.keep(action.version);
    else this.adapterNames.add(action.adapter);
  }

  private take(isWanted: (load: PendingLoad) => boolean): PendingLoad | undefined {
    const position = this.loads.findIndex(isWanted);
    return position < 0 ? undefined : this.loads.splice(position, 1)[0];
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
