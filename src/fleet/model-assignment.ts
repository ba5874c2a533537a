/**
 * Assigns workers to the models that they hold, so that only the workers that serve a model load a
 * new version of it. Shares follow the recent demand for each model. A worker keeps its model as
 * long as the shares allow, since a change costs a load. A model whose demand comes from one zone
 * or region gets workers there first, which keeps its traffic local and available during a
 * partition.
 */
import type { ModelName, ZoneName } from '../core/identity.js';
import type { WeightVersion } from '../core/units.js';
import type { LocalityName } from '../placement/locality.js';

/** The properties of a worker that the assignment depends on. */
export interface AssignableWorker {
  readonly id: string;
  readonly zone: ZoneName;
  /** Version of each model that the worker holds. */
  readonly versions: ReadonlyMap<ModelName, WeightVersion>;
}

/** Returns whether a worker serves a model. */
export type ServesModel = (worker: string, model: ModelName) => boolean;

/**
 * In a fleet with fewer workers per model every worker serves every model: a part of the workers
 * would lack the memory for a model's load peaks.
 */
const MIN_FLEET_SIZE_PER_MODEL = 6;

const MIN_WORKERS_PER_MODEL = 2;

/** Weight of the newest job in the moving average of a model's demand. */
const DEMAND_SMOOTHING = 0.4;

/** Workers by which a model's count may differ from its share before a worker is reassigned. */
const MAX_SHARE_DEVIATION = 1;

/** Tracks which model each worker serves. */
export class ModelAssignment {
  private readonly demand = new Map<ModelName, number>();
  /** The zone or region that a model's demand comes from, if known. */
  private readonly demandLocalities = new Map<ModelName, LocalityName>();
  private current = new Map<string, ModelName>();

  /** `localityOf`: the zone or region that serves a zone's callers first. @default the zone */
  constructor(private readonly localityOf: (zone: ZoneName) => LocalityName = (zone) => zone) {}

  /** Records a job's demand for a model, in tokens; without `zone`, from any zone. */
  recordDemand(model: ModelName, tokens: number, zone?: ZoneName): void {
    if (zone !== undefined) this.recordDemandLocality(model, zone);
    const before = this.demand.get(model);
    const mean = before === undefined ? tokens : before + DEMAND_SMOOTHING * (tokens - before);
    this.demand.set(model, mean);
  }

  /** The first locality of a model discards the assignment, which was made without it. */
  private recordDemandLocality(model: ModelName, zone: ZoneName): void {
    if (!this.demandLocalities.has(model)) this.current.clear();
    this.demandLocalities.set(model, this.localityOf(zone));
  }

  /**
   * Updates the assignment and returns it. By `newestVersions` a new coordinator reconstructs
   * its predecessor's assignment. Workers in `evacuated` get no work and keep their models for
   * their return; the others change only as far as the shares require.
   */
  update(
    workers: readonly AssignableWorker[],
    newestVersions: ReadonlyMap<ModelName, WeightVersion>,
    evacuated: readonly AssignableWorker[] = [],
  ): ServesModel {
    const all = [...workers, ...evacuated];
    const models = [...new Set(all.flatMap((worker) => [...worker.versions.keys()]))].sort();
    const isSmall = all.length < MIN_FLEET_SIZE_PER_MODEL * models.length;
    if (isSmall) this.current.clear();
    if (isSmall || workers.length < MIN_WORKERS_PER_MODEL * models.length) {
      const assignableIds = new Set(workers.map(({ id }) => id));
      return (worker, model) => assignableIds.has(worker) || this.servesCurrently(worker, model);
    }
    const retained = evacuated.flatMap((worker) => this.currentEntry(worker, newestVersions));
    this.current = new Map([...this.assignModels(workers, models, newestVersions), ...retained]);
    return (worker, model) => this.current.get(worker) === model;
  }

  /** Whether a worker serves a model in the current assignment; an unassigned worker serves all. */
  private servesCurrently(worker: string, model: ModelName): boolean {
    return (this.current.get(worker) ?? model) === model;
  }

  /** The model that a worker has served, if known. */
  private currentEntry(
    worker: AssignableWorker,
    newestVersions: ReadonlyMap<ModelName, WeightVersion>,
  ): [string, ModelName][] {
    const model = this.current.get(worker.id) ?? leastLaggingModel(worker, newestVersions);
    return model === undefined ? [] : [[worker.id, model]];
  }

  private assignModels(
    workers: readonly AssignableWorker[],
    models: readonly ModelName[],
    newestVersions: ReadonlyMap<ModelName, WeightVersion>,
  ): Map<string, ModelName> {
    const previous = new Map<string, ModelName>();
    for (const worker of workers) {
      for (const [id, model] of this.currentEntry(worker, newestVersions)) {
        if (worker.versions.has(model)) previous.set(id, model);
      }
    }
    const quotas = this.quotas(workers.length, models, countsOf(previous));
    const assigned = retainWithinQuotas(this.localDemandFirst(previous, workers), quotas);
    const counts = countsOf(assigned);
    const assign = (worker: AssignableWorker, among: readonly ModelName[]): void => {
      const model = modelWithLargestDeficit(among, quotas, counts);
      if (assigned.has(worker.id) || model === undefined) return;
      assigned.set(worker.id, model);
      counts.set(model, (counts.get(model) ?? 0) + 1);
    };
    for (const worker of workers) {
      const isBelowQuota = (model: ModelName): boolean =>
        (counts.get(model) ?? 0) < (quotas.get(model) ?? 0);
      assign(worker, this.modelsWithLocalDemand(worker).filter(isBelowQuota));
    }
    for (const worker of workers) assign(worker, [...worker.versions.keys()].sort());
    return assigned;
  }

  /** The models that a worker holds and whose demand comes from its zone or region. */
  private modelsWithLocalDemand({ zone, versions }: AssignableWorker): ModelName[] {
    const locality = this.localityOf(zone);
    return [...versions.keys()]
      .filter((model) => this.demandLocalities.get(model) === locality)
      .sort();
  }

  /** Sorts assignments: first the workers in the locality from which their model is requested. */
  private localDemandFirst(
    previous: ReadonlyMap<string, ModelName>,
    workers: readonly AssignableWorker[],
  ): ReadonlyMap<string, ModelName> {
    if (this.demandLocalities.size === 0) return previous;
    const localities = new Map(workers.map(({ id, zone }) => [id, this.localityOf(zone)]));
    const localityDistance = ([worker, model]: [string, ModelName]): number =>
      this.demandLocalities.get(model) === localities.get(worker) ? 0 : 1;
    return new Map([...previous].sort((a, b) => localityDistance(a) - localityDistance(b)));
  }

  /** Returns the number of workers of each model; the present counts, if these are close enough. */
  private quotas(
    total: number,
    models: readonly ModelName[],
    counts: ReadonlyMap<ModelName, number>,
  ): Map<ModelName, number> {
    const shares = this.shares(total, models);
    const sum = models.reduce((subtotal, model) => subtotal + (counts.get(model) ?? 0), 0);
    const areCountsClose = models.every(
      (model) =>
        Math.abs((counts.get(model) ?? 0) - (shares.get(model) ?? 0)) <= MAX_SHARE_DEVIATION,
    );
    if (sum === total && areCountsClose) return new Map(counts);
    return wholeQuotas(total, shares);
  }

  /** Returns each model's share of the workers by demand; at least the minimum. */
  private shares(total: number, models: readonly ModelName[]): Map<ModelName, number> {
    const known = models
      .map((model) => this.demand.get(model))
      .filter((demand) => demand !== undefined);
    const mean = known.reduce((sum, demand) => sum + demand, 0) / Math.max(1, known.length) || 1;
    const demands = models.map((model) => this.demand.get(model) ?? mean);
    const sum = demands.reduce((subtotal, demand) => subtotal + demand, 0);
    const spare = total - MIN_WORKERS_PER_MODEL * models.length;
    return new Map(
      models.map((model, index) => [
        model,
        MIN_WORKERS_PER_MODEL + (spare * (demands[index] ?? 0)) / sum,
      ]),
    );
  }
}

/** Returns the model of which a worker lags least, or `undefined` if several lag equally. */
function leastLaggingModel(
  worker: AssignableWorker,
  newestVersions: ReadonlyMap<ModelName, WeightVersion>,
): ModelName | undefined {
  const lags = [...worker.versions]
    .map(([model, version]) => ({ model, lag: (newestVersions.get(model) ?? version) - version }))
    .sort((a, b) => a.lag - b.lag);
  const [first, second] = lags;
  if (second !== undefined && first?.lag === second.lag) return undefined;
  return first?.model;
}

function countsOf(assigned: ReadonlyMap<string, ModelName>): Map<ModelName, number> {
  const counts = new Map<ModelName, number>();
  for (const model of assigned.values()) counts.set(model, (counts.get(model) ?? 0) + 1);
  return counts;
}

/** Rounds shares to whole numbers that add up to `total`, by largest remainder. */
function wholeQuotas(
  total: number,
  shares: ReadonlyMap<ModelName, number>,
): Map<ModelName, number> {
  const quotas = new Map([...shares].map(([model, share]) => [model, Math.floor(share)]));
  let left = total - [...quotas.values()].reduce((sum, quota) => sum + quota, 0);
  const byRemainder = [...shares].sort(([, a], [, b]) => (b % 1) - (a % 1));
  for (const [model] of byRemainder) {
    if (left <= 0) break;
    quotas.set(model, (quotas.get(model) ?? 0) + 1);
    left -= 1;
  }
  return quotas;
}

/** Keeps the assignments up to each quota; the other workers become unassigned. */
function retainWithinQuotas(
  previous: ReadonlyMap<string, ModelName>,
  quotas: ReadonlyMap<ModelName, number>,
): Map<string, ModelName> {
  const retained = new Map<string, ModelName>();
  const counts = new Map<ModelName, number>();
  for (const [worker, model] of previous) {
    const count = counts.get(model) ?? 0;
    if (count >= (quotas.get(model) ?? 0)) continue;
    counts.set(model, count + 1);
    retained.set(worker, model);
  }
  return retained;
}

/** Returns the model with the most missing workers; the first among equals. */
function modelWithLargestDeficit(
  models: readonly ModelName[],
  quotas: ReadonlyMap<ModelName, number>,
  counts: ReadonlyMap<ModelName, number>,
): ModelName | undefined {
  const missing = (model: ModelName): number => (quotas.get(model) ?? 0) - (counts.get(model) ?? 0);
  return models.reduce<ModelName | undefined>(
    (best, model) => (best === undefined || missing(model) > missing(best) ? model : best),
    undefined,
  );
}
