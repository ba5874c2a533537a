/**
 * Moves the workers to the weights that trainers named: a few at a time, with fenced orders, each
 * bound to the worker's life and to the number of orders it had taken. Half of the workers change
 * as soon as a version is named, those that would be unusable first; the others follow with the
 * next version, or after a while. Where several models wait, the one with the smallest share of
 * usable workers goes first.
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
import { type AssignableWorker, type Division, ModelAssignment } from './model-assignment.js';
import type { WeightChange } from './weight-changes.js';

/** Options of {@link WeightRollout}. */
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
  /** Whether a service is part of the configuration in force. */
  readonly isConfigured: (service: ServiceName) => boolean;
  /** Told of each change that was ordered, and of each that has shown. */
  readonly noteChange: (change: WeightChange) => void;
  /** Whether a worker is sent no work for the time being, as its zone is evacuated. @default none is */
  readonly isEvacuated?: (worker: KnownWorker) => boolean;
  /** The zone or region that serves the callers of a zone first. @default each zone by itself */
  readonly localityOf?: ((zone: ZoneName) => LocalityName) | undefined;
  /** What becomes of runs at a worker that changes its weights. */
  readonly mode: () => WeightOrderMode;
}

/** Share of all workers that may load at once: more at a time make each load slower. */
const LOADING_SHARE = 0.28;

/** Workers that may load at once in a small fleet. */
const FEWEST_LOADS_AT_ONCE = 2;

/** How many of this many workers may load at the same time. */
export function loadsAtOnce(workers: number): number {
  return Math.max(FEWEST_LOADS_AT_ONCE, Math.round(LOADING_SHARE * workers));
}

/** Time after an order at which the worker is first asked whether it is done. */
const FIRST_CHECK: Milliseconds = 900;
const CHECK_INTERVAL: Milliseconds = 250;

/** A change that has not shown after this time is decided anew. */
const CHANGE_LIMIT: Milliseconds = 4_000;

/** Pause before a worker that could not be asked is asked again. */
const RETRY_PAUSE: Milliseconds = 500;

/** Time after which all workers hold a version that no newer one has replaced. */
const CATCH_UP_DELAY: Milliseconds = 6_000;

/**
 * Largest share of its time that a node spends on looking for changes: with 3,003 workers and three
 * models a look takes 7 ms of a whole core, and one at each tick takes 42% of a third of a core.
 */
const LOOK_SHARE = 0.05;

/** A version that a trainer named. */
export interface NamedVersion {
  readonly version: WeightVersion;
  /** Steady time. */
  readonly namedAt: Milliseconds;
}

/** Rolls named versions out. */
export class WeightRollout {
  /** Model that is being changed, by the life of the worker: an order concerns one life. */
  private readonly changing = new Map<KnownWorker, ModelName>();
  private readonly notBefore = new WeakMap<KnownWorker, Milliseconds>();
  private readonly required = new Map<ModelName, WeightVersion>();
  private readonly assignment: ModelAssignment;
  private nextLookAt: Milliseconds = 0;

  constructor(private readonly options: WeightRolloutOptions) {
    this.assignment = new ModelAssignment(options.localityOf);
  }

  /** A job needs weights of at least this version: workers behind it change first. */
  requireWeights({ model, version, tokens, zone }: WeightNeed): void {
    if (version > (this.required.get(model) ?? 0)) this.required.set(model, version);
    this.assignment.noteWork(model, tokens, zone);
  }

  /** Starts changes while there is room for more loads. */
  tick(): void {
    const startedAt = this.options.clock.now();
    if (startedAt < this.nextLookAt || this.options.lock.fencingToken() === undefined) return;
    this.startChanges();
    const endedAt = this.options.clock.now();
    this.nextLookAt = endedAt + (endedAt - startedAt) / LOOK_SHARE;
  }

  private startChanges(): void {
    const limit = loadsAtOnce(this.orderable().length);
    if (this.changing.size >= limit) return;
    for (const change of this.pendingChanges()) {
      if (this.changing.size >= limit) return;
      const { worker } = change;
      if (this.changing.has(worker)) continue;
      this.changing.set(worker, change.model);
      void this.perform(change).finally(() => this.changing.delete(worker));
    }
  }

  /**
   * What is to be changed now, the most urgent first, then the least busy worker. Workers that are away
   * come after all others, and for versions that no newer one has replaced for a while.
   */
  private pendingChanges(): PendingChange[] {
    const now = this.options.clock.now();
    const { isEvacuated: isAway = () => false } = this.options;
    const workers = this.orderable().filter(({ record }) => !record.draining);
    const present = workers.filter((worker) => !isAway(worker));
    const away = workers.filter(isAway);
    const serves = this.assignment.update(
      present.map(assignable),
      this.namedVersions(),
      away.map(assignable),
    );
    const changes = this.changesAmong(present, serves, now);
    const due = changes.length > 0 ? changes : this.lateChangesAmong(away, serves, now);
    return due
      .filter(({ worker }) => (this.notBefore.get(worker) ?? 0) <= now)
      .sort(
        (a, b) =>
          a.usableShare - b.usableShare || a.worker.occupancy(now) - b.worker.occupancy(now),
      );
  }

  private changesAmong(
    workers: readonly KnownWorker[],
    serves: Division,
    now: Milliseconds,
  ): PendingChange[] {
    return [...this.options.namedVersions].flatMap(([model, { version, namedAt }]) => {
      const holders = workers.filter(
        (worker) => worker.versionOf(model) > 0 && serves(worker.record.id, model),
      );
      const target = { model, version, required: this.required.get(model) ?? 0 };
      const mayWait = now - namedAt < CATCH_UP_DELAY;
      return dueChanges(holders, target, mayWait, (one) => this.changing.get(one) === model);
    });
  }

  /** Workers that are sent no work need no version that the next one may replace first. */
  private lateChangesAmong(
    workers: readonly KnownWorker[],
    serves: Division,
    now: Milliseconds,
  ): PendingChange[] {
    const { namedVersions: named } = this.options;
    return this.changesAmong(workers, serves, now).filter(({ model }) => {
      const namedAt = named.get(model)?.namedAt ?? now;
      return now - namedAt >= CATCH_UP_DELAY;
    });
  }

  /** Workers that hold models, of services that are configured: others are not ours to order. */
  private orderable(): KnownWorker[] {
    const { registry, isConfigured } = this.options;
    const workers = registry.all().filter(({ record }) => record.models.length > 0);
    return workers.filter(({ record }) => isConfigured(record.service));
  }

  private namedVersions(): Map<ModelName, WeightVersion> {
    return new Map([...this.options.namedVersions].map(([model, { version }]) => [model, version]));
  }

  private async perform(change: PendingChange): Promise<void> {
    const { engine, lock, holder, log, mode } = this.options;
    const { worker, model } = change;
    const report = await engine.report(worker.record);
    if (report === undefined || isOtherLife(report, worker)) {
      return this.postpone(worker, RETRY_PAUSE);
    }
    for (const held of report.models) worker.noteVersion(held.name, held.version);
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
    await this.afterOrder(change, version, outcome);
  }

  private async afterOrder(
    change: PendingChange,
    version: WeightVersion,
    outcome: OrderOutcome,
  ): Promise<void> {
    const { worker, model } = change;
    if (outcome === 'holds') worker.noteVersion(model, version);
    else if (outcome === 'started' || outcome === 'unknown') {
      this.noteChange(change, version, 'loading');
      await this.await(change, version);
      if (worker.versionOf(model) >= version) this.noteChange(change, version, 'loaded');
    } else this.postpone(worker, outcome === 'conflict' ? CHECK_INTERVAL : RETRY_PAUSE);
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

  /** Asks until the worker holds the version, or shows that it does nothing about it. */
  private async await(change: PendingChange, version: WeightVersion): Promise<void> {
    const { worker, model } = change;
    const startedAt = this.options.clock.now();
    await this.options.clock.sleep(FIRST_CHECK);
    while (this.options.clock.now() - startedAt < CHANGE_LIMIT) {
      if (worker.versionOf(model) >= version) return;
      const report = await this.options.engine.report(worker.record);
      // The order ended with the life that it was given to.
      if (report !== undefined && isOtherLife(report, worker)) return;
      for (const held of report?.models ?? []) worker.noteVersion(held.name, held.version);
      if (worker.versionOf(model) >= version) return;
      if (report !== undefined && !report.busy) return this.postpone(worker, CHECK_INTERVAL);
      await this.options.clock.sleep(CHECK_INTERVAL);
    }
  }

  private postpone(worker: KnownWorker, duration: Milliseconds): void {
    this.notBefore.set(worker, this.options.clock.now() + duration);
  }
}

/** Whether a report tells of another life than the one that is known. */
function isOtherLife({ startedAt }: EngineReport, { record }: KnownWorker): boolean {
  if (startedAt === undefined || record.startedAt === undefined) return false;
  return startedAt !== record.startedAt;
}

function assignable(worker: KnownWorker): AssignableWorker {
  const versions = worker.record.models.map(({ name }) => [name, worker.versionOf(name)] as const);
  const { id, zone } = worker.record;
  return { id, zone, versions: new Map(versions) };
}
