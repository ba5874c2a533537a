/**
 * Carries out the fenced orders of an emulated engine: loads of weights and adapters, activation,
 * and changes of role. A load ends by itself after a time, or where loads are external, when the
 * engine is told from outside.
 */
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { EngineOrder, WorkerOrderResult } from '../../src/platform/worker.js';
import type { EngineOutputs } from './engine-outputs.js';
import type { EngineSettings } from './engine-settings.js';
import { type LoadAction, type PendingLoad, WeightMemory } from './weight-memory.js';

/** A weight version that is to be fetched outside. */
export interface ExternalLoad {
  readonly orderId: string;
  readonly version: WeightVersion;
}

/** How orders are carried out. */
export interface OrderProcessingOptions {
  readonly settings: EngineSettings;
  readonly random: RandomSource;
  readonly outputs: EngineOutputs;
  /** Whether weight versions are fetched outside the engine. */
  readonly externalLoads: boolean;
  /** Called before another version becomes the active one. */
  readonly beforeActivation: (now: Milliseconds) => void;
}

/** Orders of one engine. */
export class OrderProcessing {
  memory: WeightMemory;
  private loadFailureRate: number;
  private started: ExternalLoad[] = [];

  constructor(private readonly options: OrderProcessingOptions) {
    this.loadFailureRate = options.settings.loadFailureRate;
    this.memory = new WeightMemory(options.settings);
  }

  /** Share of later loads that fail, in `[0, 1]`. */
  setLoadFailureRate(rate: number): void {
    this.loadFailureRate = rate;
  }

  /** Carries an order out, or refuses it. */
  carryOut(orderId: string, order: EngineOrder, now: Milliseconds): void {
    const { action } = order;
    const refusal = this.memory.fence(order);
    if (refusal !== undefined) this.options.outputs.order(orderId, refusal, now);
    else if (action.kind === 'activate') this.activate(orderId, action.version, now);
    else if (action.kind === 'change-role') {
      this.memory.role = action.role;
      this.done(orderId, now);
    } else this.load(orderId, action, now);
  }

  /** Ends the loads that need no more time. */
  finishDue(now: Milliseconds): void {
    const { memory } = this;
    for (let load = memory.takeFinished(now); load; load = memory.takeFinished(now)) {
      this.finish(load, !load.fails, now);
    }
  }

  /** Takes the loads to be fetched outside since the last call. */
  takeExternalLoads(): readonly ExternalLoad[] {
    const taken = this.started;
    this.started = [];
    return taken;
  }

  /** Ends a load that was fetched outside; one that was lost in a crash is ignored. */
  endExternalLoad(orderId: string, succeeded: boolean, now: Milliseconds): void {
    const load = this.memory.takeLoad(orderId);
    if (load !== undefined) this.finish(load, succeeded && !load.fails, now);
  }

  /** Fails all loads underway and forgets everything, as a crash does. */
  reset(now: Milliseconds): void {
    for (const { orderId } of this.memory.pending) {
      this.options.outputs.order(orderId, { kind: 'failed', reason: 'connection reset' }, now);
    }
    this.started = [];
    this.memory = new WeightMemory(this.options.settings);
  }

  private load(orderId: string, action: LoadAction, now: Milliseconds): void {
    if (this.memory.holds(action)) {
      this.done(orderId, now);
      return;
    }
    const { settings, random, externalLoads } = this.options;
    const fails = random.fraction() < this.loadFailureRate;
    const isExternal = externalLoads && action.kind === 'load';
    const loadTime = action.kind === 'load' ? settings.loadTime : settings.adapterLoadTime;
    const finishAt = isExternal ? Number.POSITIVE_INFINITY : now + loadTime;
    this.memory.startLoad({ orderId, action, finishAt, fails });
    if (isExternal) this.started.push({ orderId, version: action.version });
  }

  private finish({ orderId, action }: PendingLoad, succeeded: boolean, now: Milliseconds): void {
    if (succeeded) this.memory.keepLoaded(action);
    const result: WorkerOrderResult = succeeded
      ? { kind: 'done' }
      : { kind: 'failed', reason: 'the weights could not be loaded' };
    this.options.outputs.order(orderId, result, now);
  }

  private activate(orderId: string, version: WeightVersion, now: Milliseconds): void {
    if (!this.memory.has(version)) {
      const reason = 'the version is not loaded';
      this.options.outputs.order(orderId, { kind: 'failed', reason }, now);
      return;
    }
    this.options.beforeActivation(now);
    this.memory.active = version;
    this.done(orderId, now);
  }

  private done(orderId: string, now: Milliseconds): void {
    this.options.outputs.order(orderId, { kind: 'done' }, now);
  }
}
