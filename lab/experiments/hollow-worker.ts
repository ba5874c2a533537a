/**
 * A worker that only holds weight versions: fenced loads and activations with delays, and lagging
 * reports. Thousands of them fit into one process.
 */
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type {
  WorkerOrder,
  WorkerOrderResult,
  WorkerRecord,
  WorkerReport,
} from '../../src/platform/worker.js';
import { WeightMemory } from '../emulator/weight-memory.js';
import type { EventQueue } from '../simulation/event-queue.js';

/** Times and failures of hollow workers. */
export interface HollowWorkerSettings {
  /** Shortest and longest time of a load. */
  readonly loadTime: { readonly shortest: Milliseconds; readonly longest: Milliseconds };
  /** Time of an activation. */
  readonly activateTime: Milliseconds;
  /** Share of loads and activations that fail, in `[0, 1]`. */
  readonly failureRate: number;
  /** Share of results that are answered twice, in `[0, 1]`. */
  readonly duplicateRate: number;
  /** How old a report is at most. */
  readonly reportLag: Milliseconds;
}

/** Carries a result back to whoever gave the order. */
export type ResultListener = (result: WorkerOrderResult) => void;

const INITIAL_VERSION: WeightVersion = 1;
const LOADED_VERSION_LIMIT = 3;

/** One hollow worker. */
export class HollowWorker {
  /** When the active version last changed. */
  activatedAt: Milliseconds = 0;
  /** Loads under way. */
  loading = 0;
  private memory = newMemory();
  private life = 0;
  private published: WorkerReport;
  private publishedAt: Milliseconds = 0;

  constructor(
    readonly record: WorkerRecord,
    private readonly settings: HollowWorkerSettings,
    private readonly queue: EventQueue,
    private readonly random: RandomSource,
  ) {
    this.published = this.currentReport();
  }

  /** Version that new tokens would be made with. */
  get activeVersion(): WeightVersion {
    return this.memory.active;
  }

  /** Highest epoch accepted. */
  get epoch(): number {
    return this.memory.epoch;
  }

  /** Carries out an order after its delay; an order of a lower epoch is refused at once. */
  order(order: WorkerOrder, listener: ResultListener): void {
    const refusal = this.memory.fence(order);
    if (refusal !== undefined) {
      listener(refusal);
      return;
    }
    const { kind, version } = order.action;
    const life = this.life;
    const isLoad = kind === 'load' && !this.memory.has(version);
    if (isLoad) this.loading += 1;
    this.queue.after(isLoad ? this.loadTime() : this.settings.activateTime, () => {
      if (life !== this.life) return;
      if (isLoad) this.loading -= 1;
      const result = this.carryOut(order);
      listener(result);
      if (this.random.fraction() < this.settings.duplicateRate) listener(result);
    });
  }

  /** The last published state. */
  report(): WorkerReport {
    if (this.queue.now - this.publishedAt >= this.settings.reportLag) {
      this.published = this.currentReport();
      this.publishedAt = this.queue.now;
    }
    return this.published;
  }

  /** Starts anew with the first version, without memory; orders under way are never answered. */
  restart(): void {
    this.life += 1;
    this.loading = 0;
    this.memory = newMemory();
    this.activatedAt = this.queue.now;
    this.published = this.currentReport();
  }

  private carryOut(order: WorkerOrder): WorkerOrderResult {
    const { kind, version } = order.action;
    if (this.random.fraction() < this.settings.failureRate) {
      return { kind: 'failed', reason: `${kind} failed` };
    }
    if (kind === 'load') this.keep(version);
    else if (!this.memory.has(version)) return { kind: 'failed', reason: 'not loaded' };
    else this.activate(version);
    return { kind: 'done' };
  }

  private keep(version: WeightVersion): void {
    this.memory.keepLoaded({ kind: 'load', version });
  }

  private activate(version: WeightVersion): void {
    this.memory.active = version;
    this.activatedAt = this.queue.now;
  }

  private loadTime(): Milliseconds {
    const { shortest, longest } = this.settings.loadTime;
    return shortest + this.random.fraction() * (longest - shortest);
  }

  private currentReport(): WorkerReport {
    return {
      worker: this.record.worker,
      running: 0,
      waiting: 0,
      activeVersion: this.memory.active,
      loadedVersions: [...this.memory.loaded],
      epoch: this.memory.epoch,
      leaving: false,
    };
  }
}

function newMemory(): WeightMemory {
  return new WeightMemory({
    initialVersion: INITIAL_VERSION,
    loadedVersionLimit: LOADED_VERSION_LIMIT,
  });
}
