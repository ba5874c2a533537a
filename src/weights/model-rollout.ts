/**
 * Brings the workers of one model in one zone to a target version: prefetch under a limit on
 * loads at once, then activation once enough of them have loaded it or loading has stalled;
 * stragglers follow as they load.
 */
import type { ModelName, WorkerId } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type {
  WorkerOrder,
  WorkerOrderResult,
  WorkerRecord,
  WorkerReport,
} from '../platform/worker.js';
import { WorkerRollout } from './worker-rollout.js';

/** Limits of a rollout. */
export interface RolloutLimits {
  /** Share of the reachable workers that must have loaded a version before any activates it. */
  readonly activationQuorum: number;
  /** Longest wait for that share in which no further worker has loaded the version. */
  readonly activationWaitLimit: Milliseconds;
  /** Time after which an unanswered load is given up. */
  readonly loadTimeout: Milliseconds;
  /** Time after which an unanswered activation is given up. */
  readonly activateTimeout: Milliseconds;
  /** Time between two polls of one worker. */
  readonly pollInterval: Milliseconds;
}

/** An order to be sent. */
export interface RolloutOrder {
  readonly orderId: string;
  readonly worker: WorkerRecord;
  readonly action: WorkerOrder['action'];
}

/** Progress of a rollout. */
export interface RolloutProgress {
  readonly target: WeightVersion | undefined;
  readonly activating: boolean;
  readonly workers: number;
  /** Workers heard of lately and not leaving. */
  readonly reachable: number;
  readonly loaded: number;
  readonly active: number;
  readonly pendingOrders: number;
}

/** The workers of one model in one zone. */
export class ModelRollout {
  private readonly workers = new Map<WorkerId, WorkerRollout>();
  /** Workers with an unanswered order, by the order's id. */
  private readonly orders = new Map<string, WorkerRollout>();
  private target: WeightVersion | undefined;
  /** Most workers seen with the target loaded, and since when. */
  private mostLoaded = 0;
  private progressAt: Milliseconds = 0;
  private activating = false;

  constructor(
    readonly model: ModelName,
    private readonly limits: RolloutLimits,
    private readonly random: RandomSource,
  ) {}

  /** Sets the workers that are in service; what is known of the remaining ones is kept. */
  setWorkers(records: readonly WorkerRecord[], now: Milliseconds): void {
    const names = new Set(records.map((record) => record.worker));
    for (const worker of this.workers.keys()) {
      if (!names.has(worker)) this.workers.delete(worker);
    }
    for (const [orderId, rollout] of this.orders) {
      if (!names.has(rollout.record.worker)) this.orders.delete(orderId);
    }
    for (const record of records) {
      const known = this.workers.get(record.worker);
      if (known !== undefined) known.record = record;
      else this.workers.set(record.worker, this.addWorker(record, now));
    }
  }

  /** Sets the version to be run; a change starts a new rollout. */
  setTarget(target: WeightVersion | undefined, now: Milliseconds): boolean {
    if (target === this.target) return false;
    this.target = target;
    this.mostLoaded = 0;
    this.progressAt = now;
    this.activating = false;
    return true;
  }

  /** Takes in a report of one of the workers; others are ignored. */
  report(report: WorkerReport, now: Milliseconds): void {
    this.workers.get(report.worker)?.report(report, now);
  }

  /**
   * Takes in an order's result; duplicates and late ones are ignored by the order's id.
   * @returns whether the order was one of this rollout's unanswered ones.
   */
  orderResult(orderId: string, result: WorkerOrderResult, now: Milliseconds): boolean {
    const rollout = this.orders.get(orderId);
    if (rollout === undefined) return false;
    this.orders.delete(orderId);
    rollout.finish(result, now, this.random);
    return true;
  }

  /** Workers whose poll is due. */
  duePolls(now: Milliseconds): WorkerRecord[] {
    const due: WorkerRecord[] = [];
    for (const rollout of this.workers.values()) {
      if (now < rollout.nextPoll) continue;
      rollout.nextPoll = now + this.limits.pollInterval;
      due.push(rollout.record);
    }
    return due;
  }

  /**
   * Orders to be sent now.
   * @param loadsAtOnce how many loads may be under way at once.
   * @param mayGoBack whether a worker may be ordered to an older version than its active one.
   */
  dueOrders(loadsAtOnce: number, mayGoBack: boolean, now: Milliseconds): RolloutOrder[] {
    this.expireOrders(now);
    const target = this.target;
    if (target === undefined) return [];
    this.startActivation(target, now);
    let freeLoads = loadsAtOnce - this.pendingLoads();
    const orders: RolloutOrder[] = [];
    for (const rollout of this.workers.values()) {
      if (rollout.isActive(target) || !rollout.isReady(now)) continue;
      if (!mayGoBack && rollout.isAheadOf(target)) continue;
      if (rollout.hasLoaded(target)) {
        if (this.activating) orders.push(this.order(rollout, 'activate', target, now));
      } else if (freeLoads > 0) {
        freeLoads -= 1;
        orders.push(this.order(rollout, 'load', target, now));
      }
    }
    return orders;
  }

  /** Forgets unanswered orders, after the epoch they carried was lost. */
  forgetOrders(): void {
    for (const rollout of this.orders.values()) rollout.pending = undefined;
    this.orders.clear();
  }

  /** Where the rollout stands. */
  progress(now: Milliseconds): RolloutProgress {
    const all = [...this.workers.values()];
    const target = this.target;
    const counted = all.filter((rollout) => rollout.isCounted(now));
    const count = (test: (rollout: WorkerRollout, version: WeightVersion) => boolean): number =>
      target === undefined ? 0 : counted.filter((rollout) => test(rollout, target)).length;
    return {
      target,
      activating: this.activating,
      workers: all.length,
      reachable: counted.length,
      loaded: count((rollout, version) => rollout.hasLoaded(version)),
      active: count((rollout, version) => rollout.isActive(version)),
      pendingOrders: all.filter((rollout) => rollout.pending !== undefined).length,
    };
  }

  private addWorker(record: WorkerRecord, now: Milliseconds): WorkerRollout {
    const rollout = new WorkerRollout(record);
    rollout.nextPoll = now + this.random.fraction() * this.limits.pollInterval;
    return rollout;
  }

  private startActivation(target: WeightVersion, now: Milliseconds): void {
    if (this.activating) return;
    let reachable = 0;
    let loaded = 0;
    for (const rollout of this.workers.values()) {
      if (!rollout.isCounted(now)) continue;
      reachable += 1;
      if (rollout.hasLoaded(target)) loaded += 1;
    }
    const enough = reachable > 0 && loaded >= this.limits.activationQuorum * reachable;
    if (loaded > this.mostLoaded) {
      this.mostLoaded = loaded;
      this.progressAt = now;
    }
    const waited = now - this.progressAt >= this.limits.activationWaitLimit;
    this.activating = enough || waited;
  }

  private order(
    rollout: WorkerRollout,
    kind: 'load' | 'activate',
    version: WeightVersion,
    now: Milliseconds,
  ): RolloutOrder {
    const orderId = this.random.identifier();
    const timeout = kind === 'load' ? this.limits.loadTimeout : this.limits.activateTimeout;
    const action = { kind, version };
    rollout.pending = { orderId, action, deadline: now + timeout };
    this.orders.set(orderId, rollout);
    return { orderId, worker: rollout.record, action };
  }

  private pendingLoads(): number {
    let count = 0;
    for (const rollout of this.orders.values()) {
      if (rollout.pending?.action.kind === 'load') count += 1;
    }
    return count;
  }

  private expireOrders(now: Milliseconds): void {
    for (const [orderId, rollout] of this.orders) {
      if (rollout.pending !== undefined && now < rollout.pending.deadline) continue;
      this.orders.delete(orderId);
      rollout.expire(now, this.random);
    }
  }
}
