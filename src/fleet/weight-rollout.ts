/**
 * Rolls out the weights that trainers name: orders a few workers at a time. Each order carries a
 * fencing token and is bound to the worker's incarnation and order sequence. Half of the workers
 * change as soon as a version is named, unusable ones first; the others follow with the next
 * version or after a delay. The model with the smallest share of usable workers goes first.
 */

import type { ModelName, ZoneName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { WeightNeed } from '../jobs/job-peers.js';
import type { LocalityName } from '../placement/locality.js';
import type { Clock } from '../serving/clock.js';
import type {
  EnginePort,
  EngineReport,
  OrderOutcome,
  WeightOrderMode,
} from '../serving/engine-port.js';
import type { ServiceName } from '../serving/traffic-configuration.js';
import { workerIncarnationOf } from '../serving/worker-incarnation.js';
import type { KnownWorker, WorkerRegistry } from '../serving/worker-registry.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { CoordinatorLock } from './coordinator-lock.js';
import { dueChanges, type PendingChange } from './due-changes.js';
import { type AssignableWorker, ModelAssignment, type ServesModel } from './model-assignment.js';
import type { WeightChange } from './weight-changes.js';

export interface WeightRolloutOptions {
  readonly engine: EnginePort;
  readonly registry: WorkerRegistry;
  readonly lock: Pick<CoordinatorLock, 'fencingToken' | 'beginOrder' | 'endOrder' | 'noteRefused'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly holder: string;
  /** Newest version that a trainer named, by model. */
  readonly namedVersions: ReadonlyMap<ModelName, NamedVersion>;
  /** Whether a service is part of the current configuration. */
  readonly isConfigured: (service: ServiceName) => boolean;
  /** Called with each change that was ordered, and with each that is complete. */
  readonly noteChange: (change: WeightChange) => void;
  /** Whether a worker gets no work because its zone is evacuated. @default no worker */
  readonly isEvacuated?: (worker: KnownWorker) => boolean;
  /** The zone or region that serves the callers of a zone first. @default each zone itself */
  readonly localityOf?: ((zone: ZoneName) => LocalityName) | undefined;
  /** How workers that change weights treat their running requests. */
  readonly orderMode: () => WeightOrderMode;
}

/** Share of all workers that may load at once; more concurrent loads slow each other down. */
const LOADING_SHARE = 0.28;

/** Minimum for small fleets. */
const MIN_CONCURRENT_LOADS = 2;

/** Returns how many of `workers` may load at the same time. */
export function maxConcurrentLoads(workers: number): number {
  return Math.max(MIN_CONCURRENT_LOADS, Math.round(LOADING_SHARE * workers));
}

/** Time after an order at which the worker is first polled for completion. */
const FIRST_CHECK_DELAY: Milliseconds = 900;
const CHECK_INTERVAL: Milliseconds = 250;

/** Time after which an incomplete change is abandoned and may be ordered again. */
const CHANGE_TIMEOUT: Milliseconds = 4_000;

/** Delay before a worker that did not answer or rejected an order is ordered again. */
const RETRY_DELAY: Milliseconds = 500;

/** Time after which all workers load a version that no newer one has replaced. */
const CATCH_UP_DELAY: Milliseconds = 6_000;

/**
 * Maximum share of its time that a node spends on scanning for changes. A scan of 3,000 workers and
 * three models takes 7 ms of a whole core, so one at each tick would take much of a small machine.
 */
const MAX_SCAN_SHARE = 0.05;

export interface NamedVersion {
  readonly version: WeightVersion;
  /** Monotonic time. */
  readonly namedAt: Milliseconds;
}

export class WeightRollout {
  /** The model that is being changed, by worker incarnation: a restarted worker is another key. */
  private readonly changing = new Map<KnownWorker, ModelName>();
  private readonly postponedUntil = new WeakMap<KnownWorker, Milliseconds>();
  /** Workers that did not answer the latest question for their report. */
  private readonly unresponsive = new WeakSet<KnownWorker>();
  private readonly requiredVersions = new Map<ModelName, WeightVersion>();
  private readonly assignment: ModelAssignment;
  private nextScanAt: Milliseconds = 0;

  constructor(private readonly options: WeightRolloutOptions) {
    this.assignment = new ModelAssignment(options.localityOf);
  }

  /** Records the minimum version that a job needs; workers with older versions change first. */
  requireWeights({ model, version, tokens, zone }: WeightNeed): void {
    if (version > (this.requiredVersions.get(model) ?? 0))
      this.requiredVersions.set(model, version);
    this.assignment.recordDemand(model, tokens, zone);
  }

  /** Starts changes up to the limit of concurrent loads. */
  tick(): void {
    const startedAt = this.options.clock.now();
    if (startedAt < this.nextScanAt || this.options.lock.fencingToken() === undefined) return;
    this.startChanges();
    const endedAt = this.options.clock.now();
    this.nextScanAt = endedAt + (endedAt - startedAt) / MAX_SCAN_SHARE;
  }

  private startChanges(): void {
    const limit = maxConcurrentLoads(this.configuredWorkers().length);
    if (this.changing.size >= limit) return;
    for (const change of this.pendingChanges()) {
      if (this.changing.size >= limit) return;
      const { worker } = change;
      if (this.changing.has(worker)) continue;
      this.changing.set(worker, change.model);
      void this.performChange(change).finally(() => this.changing.delete(worker));
    }
  }

  /**
   * Returns the changes to make now: the most urgent first, then those of the least busy workers.
   * Unresponsive workers come last, as each attempt at one takes the place of a load until it times out.
   * Evacuated workers come last, and only for versions that no newer one has replaced for a while.
   */
  private pendingChanges(): PendingChange[] {
    const now = this.options.clock.now();
    const { isEvacuated = () => false } = this.options;
    const workers = this.configuredWorkers().filter(({ record }) => !record.draining);
    const notEvacuated = workers.filter((worker) => !isEvacuated(worker));
    const evacuated = workers.filter(isEvacuated);
    const serves = this.assignment.update(
      notEvacuated.map(toAssignable),
      this.newestVersions(),
      evacuated.map(toAssignable),
    );
    const changes = this.changesAmong(notEvacuated, serves, now);
    const due = changes.length > 0 ? changes : this.deferredChangesAmong(evacuated, serves, now);
    return due
      .filter(({ worker }) => (this.postponedUntil.get(worker) ?? 0) <= now)
      .sort(
        (a, b) =>
          this.responseRank(a) - this.responseRank(b) ||
          a.usableShare - b.usableShare ||
          a.worker.occupancy(now) - b.worker.occupancy(now),
      );
  }

  private responseRank({ worker }: PendingChange): number {
    return this.unresponsive.has(worker) ? 1 : 0;
  }

  private changesAmong(
    workers: readonly KnownWorker[],
    serves: ServesModel,
    now: Milliseconds,
  ): PendingChange[] {
    return [...this.options.namedVersions].flatMap(([model, { version, namedAt }]) => {
      const holders = workers.filter(
        (worker) => worker.versionOf(model) > 0 && serves(worker.record.id, model),
      );
      const target = { model, version, required: this.requiredVersions.get(model) ?? 0 };
      const mayWait = now - namedAt < CATCH_UP_DELAY;
      return dueChanges(holders, target, mayWait, (worker) => this.changing.get(worker) === model);
    });
  }

  /** Evacuated workers skip versions that a newer one may soon replace. */
  private deferredChangesAmong(
    workers: readonly KnownWorker[],
    serves: ServesModel,
    now: Milliseconds,
  ): PendingChange[] {
    const { namedVersions } = this.options;
    return this.changesAmong(workers, serves, now).filter(({ model }) => {
      const namedAt = namedVersions.get(model)?.namedAt ?? now;
      return now - namedAt >= CATCH_UP_DELAY;
    });
  }

  /** Workers that hold models, of configured services: the fleet does not control other workers. */
  private configuredWorkers(): KnownWorker[] {
    const { registry, isConfigured } = this.options;
    const workers = registry.all().filter(({ record }) => record.models.length > 0);
    return workers.filter(({ record }) => isConfigured(record.service));
  }

  private newestVersions(): Map<ModelName, WeightVersion> {
    return new Map([...this.options.namedVersions].map(([model, { version }]) => [model, version]));
  }

  private async performChange(change: PendingChange): Promise<void> {
    const { engine, lock, holder, log, orderMode: mode } = this.options;
    const { worker, model } = change;
    const report = await engine.report(worker.record);
    if (report === undefined || isOtherIncarnation(report, worker)) {
      this.unresponsive.add(worker);
      return this.postpone(worker, RETRY_DELAY);
    }
    this.unresponsive.delete(worker);
    for (const loaded of report.models) worker.noteVersion(loaded.name, loaded.version);
    const version = this.options.namedVersions.get(model)?.version ?? change.version;
    if (worker.versionOf(model) >= version) return;
    if (report.busy) return this.postpone(worker, CHECK_INTERVAL);
    const fencingToken = lock.beginOrder();
    if (fencingToken === undefined) return;
    const outcome = await engine
      .order({
        worker: worker.record,
        model,
        version,
        mode: mode(),
        holder,
        fencingToken,
        expectedSequence: report.sequence,
      })
      .finally(() => lock.endOrder());
    this.options.metrics.count('weight_orders', { outcome });
    if (outcome === 'fenced') lock.noteRefused(fencingToken);
    const details = { worker: worker.record.id, model, version, fencingToken, outcome };
    log.state('weights-ordered', { ...details, sequence: report.sequence });
    await this.handleOutcome(change, version, outcome);
  }

  private async handleOutcome(
    change: PendingChange,
    version: WeightVersion,
    outcome: OrderOutcome,
  ): Promise<void> {
    const { worker, model } = change;
    if (outcome === 'holds') worker.noteVersion(model, version);
    else if (outcome === 'started' || outcome === 'unknown') {
      this.noteChange(change, version, 'loading');
      await this.awaitVersion(change, version);
      if (worker.versionOf(model) >= version) this.noteChange(change, version, 'loaded');
    } else this.postpone(worker, outcome === 'conflict' ? CHECK_INTERVAL : RETRY_DELAY);
  }

  private noteChange(
    { worker, model }: PendingChange,
    version: WeightVersion,
    state: WeightChange['state'],
  ): void {
    const { record } = worker;
    this.options.noteChange({
      worker: record.id,
      life: workerIncarnationOf(record),
      model,
      version,
      state,
    });
  }

  /** Polls until the worker holds the version or stops working on it. */
  private async awaitVersion(change: PendingChange, version: WeightVersion): Promise<void> {
    const { worker, model } = change;
    const startedAt = this.options.clock.now();
    await this.options.clock.sleep(FIRST_CHECK_DELAY);
    while (this.options.clock.now() - startedAt < CHANGE_TIMEOUT) {
      if (worker.versionOf(model) >= version) return;
      const report = await this.options.engine.report(worker.record);
      // The order ended with the incarnation that received it.
      if (report !== undefined && isOtherIncarnation(report, worker)) return;
      for (const loaded of report?.models ?? []) worker.noteVersion(loaded.name, loaded.version);
      if (worker.versionOf(model) >= version) return;
      if (report !== undefined && !report.busy) return this.postpone(worker, CHECK_INTERVAL);
      await this.options.clock.sleep(CHECK_INTERVAL);
    }
  }

  private postpone(worker: KnownWorker, duration: Milliseconds): void {
    this.postponedUntil.set(worker, this.options.clock.now() + duration);
  }
}

/** Whether a report comes from another incarnation of the worker than the registered one. */
function isOtherIncarnation({ startedAt }: EngineReport, { record }: KnownWorker): boolean {
  if (startedAt === undefined || record.startedAt === undefined) return false;
  return startedAt !== record.startedAt;
}

function toAssignable(worker: KnownWorker): AssignableWorker {
  const versions = worker.record.models.map(({ name }) => [name, worker.versionOf(name)] as const);
  const { id, zone } = worker.record;
  return { id, zone, versions: new Map(versions) };
}
