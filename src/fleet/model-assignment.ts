/**
 * Divides the workers among the models that they hold, so that a new version of one model is
 * loaded by the workers that serve it and by no others. Shares follow the work that was asked of
 * each model lately; a worker stays with its model as long as the shares allow, since moving it
 * costs a load. A model whose work comes from one zone, or one region of a fleet that spans several,
 * gets the workers there first: what they make need not cross to another one, and goes on where it is
 * cut off.
 */
import type { ModelName, ZoneName } from '../core/identity.js';
import type { WeightVersion } from '../core/units.js';
import type { LocalityName } from '../placement/locality.js';

/** A worker as the division sees it. */
export interface AssignableWorker {
  readonly id: string;
  readonly zone: ZoneName;
  /** Versions that it holds, by model. */
  readonly versions: ReadonlyMap<ModelName, WeightVersion>;
}

/** Tells whether a worker serves a model. */
export type Division = (worker: string, model: ModelName) => boolean;

/**
 * In a fleet with fewer workers for each model every worker serves every model: there a part of
 * them would hold too little memory for one model's busy moments.
 */
const LEAST_FLEET_PER_MODEL = 6;

/** Workers that each model gets at least. */
const FEWEST_WORKERS_PER_MODEL = 2;

/** Weight of the newest job in the moving mean of a model's work. */
const DEMAND_SMOOTHING = 0.4;

/** Workers by which a model's count may be off its share before a worker is moved. */
const TOLERATED_EXCESS = 1;

/** Knows which model each worker serves. */
export class ModelAssignment {
  private readonly demand = new Map<ModelName, number>();
  /** The zone or region that a model's work comes from, where that is known. */
  private readonly homes = new Map<ModelName, LocalityName>();
  private current = new Map<string, ModelName>();

  /** `localityOf` gives the zone or region that serves the callers of a zone first. @default the zone */
  constructor(private readonly localityOf: (zone: ZoneName) => LocalityName = (zone) => zone) {}

  /** A job asked this much work of a model, in tokens, of the workers of a zone or of any. */
  noteWork(model: ModelName, tokens: number, zone?: ZoneName): void {
    if (zone !== undefined) this.noteHome(model, zone);
    const before = this.demand.get(model);
    const mean = before === undefined ? tokens : before + DEMAND_SMOOTHING * (tokens - before);
    this.demand.set(model, mean);
  }

  /** A division from before the homes of the models were known was as good as any other. */
  private noteHome(model: ModelName, zone: ZoneName): void {
    if (!this.homes.has(model)) this.current.clear();
    this.homes.set(model, this.localityOf(zone));
  }

  /**
   * Divides the workers anew; tells which serve a model. `named` gives the newest versions, by
   * which a new coordinator finds the division of the one before. Workers that are `away` take no
   * part, and keep their models for their return: the others change only as far as the shares ask.
   */
  update(
    workers: readonly AssignableWorker[],
    named: ReadonlyMap<ModelName, WeightVersion>,
    away: readonly AssignableWorker[] = [],
  ): Division {
    const all = [...workers, ...away];
    const models = [...new Set(all.flatMap((worker) => [...worker.versions.keys()]))].sort();
    const isSmall = all.length < LEAST_FLEET_PER_MODEL * models.length;
    if (isSmall) this.current.clear();
    if (isSmall || workers.length < FEWEST_WORKERS_PER_MODEL * models.length) {
      const present = new Set(workers.map(({ id }) => id));
      return (worker, model) => present.has(worker) || this.servesAlone(worker, model);
    }
    const kept = away.flatMap((worker) => this.entryOf(worker, named));
    this.current = new Map([...this.divide(workers, models, named), ...kept]);
    return (worker, model) => this.current.get(worker) === model;
  }

  /** Whether a worker serves a model in the division as it is; one without a model serves all. */
  private servesAlone(worker: string, model: ModelName): boolean {
    return (this.current.get(worker) ?? model) === model;
  }

  /** The model that a worker has served, as far as that is known. */
  private entryOf(
    worker: AssignableWorker,
    named: ReadonlyMap<ModelName, WeightVersion>,
  ): [string, ModelName][] {
    const model = this.current.get(worker.id) ?? mostCurrentModel(worker, named);
    return model === undefined ? [] : [[worker.id, model]];
  }

  private divide(
    workers: readonly AssignableWorker[],
    models: readonly ModelName[],
    named: ReadonlyMap<ModelName, WeightVersion>,
  ): Map<string, ModelName> {
    const wanted = new Map<string, ModelName>();
    for (const worker of workers) {
      for (const [id, model] of this.entryOf(worker, named)) {
        if (worker.versions.has(model)) wanted.set(id, model);
      }
    }
    const quotas = this.quotas(workers.length, models, countsOf(wanted));
    const assigned = keepWithinQuotas(this.homeFirst(wanted, workers), quotas);
    const counts = countsOf(assigned);
    const assign = (worker: AssignableWorker, among: readonly ModelName[]): void => {
      const model = neediestModel(among, quotas, counts);
      if (assigned.has(worker.id) || model === undefined) return;
      assigned.set(worker.id, model);
      counts.set(model, (counts.get(model) ?? 0) + 1);
    };
    for (const worker of workers) {
      const isMissing = (model: ModelName): boolean =>
        (counts.get(model) ?? 0) < (quotas.get(model) ?? 0);
      assign(worker, this.modelsAtHome(worker).filter(isMissing));
    }
    for (const worker of workers) assign(worker, [...worker.versions.keys()].sort());
    return assigned;
  }

  /** The models that a worker holds and whose work comes from its zone or region. */
  private modelsAtHome({ zone, versions }: AssignableWorker): ModelName[] {
    const locality = this.localityOf(zone);
    return [...versions.keys()].filter((model) => this.homes.get(model) === locality).sort();
  }

  /** A division in the order in which workers keep their models: those at home first. */
  private homeFirst(
    wanted: ReadonlyMap<string, ModelName>,
    workers: readonly AssignableWorker[],
  ): ReadonlyMap<string, ModelName> {
    if (this.homes.size === 0) return wanted;
    const localities = new Map(workers.map(({ id, zone }) => [id, this.localityOf(zone)]));
    const stepsFromHome = ([worker, model]: [string, ModelName]): number =>
      this.homes.get(model) === localities.get(worker) ? 0 : 1;
    return new Map([...wanted].sort((a, b) => stepsFromHome(a) - stepsFromHome(b)));
  }

  /** Workers that each model gets; the counts as they are, where these are close enough. */
  private quotas(
    total: number,
    models: readonly ModelName[],
    counts: ReadonlyMap<ModelName, number>,
  ): Map<ModelName, number> {
    const shares = this.shares(total, models);
    const sum = models.reduce((so, model) => so + (counts.get(model) ?? 0), 0);
    const areClose = models.every(
      (model) => Math.abs((counts.get(model) ?? 0) - (shares.get(model) ?? 0)) <= TOLERATED_EXCESS,
    );
    if (sum === total && areClose) return new Map(counts);
    return wholeQuotas(total, shares);
  }

  /** The share of each model in workers, by its work; at least the fewest. */
  private shares(total: number, models: readonly ModelName[]): Map<ModelName, number> {
    const known = models
      .map((model) => this.demand.get(model))
      .filter((work) => work !== undefined);
    const mean = known.reduce((sum, work) => sum + work, 0) / Math.max(1, known.length) || 1;
    const works = models.map((model) => this.demand.get(model) ?? mean);
    const sum = works.reduce((so, work) => so + work, 0);
    const spare = total - FEWEST_WORKERS_PER_MODEL * models.length;
    return new Map(
      models.map((model, index) => [
        model,
        FEWEST_WORKERS_PER_MODEL + (spare * (works[index] ?? 0)) / sum,
      ]),
    );
  }
}

/** The model of which a worker lags least, if that tells one from the others. */
function mostCurrentModel(
  worker: AssignableWorker,
  named: ReadonlyMap<ModelName, WeightVersion>,
): ModelName | undefined {
  const lags = [...worker.versions]
    .map(([model, version]) => ({ model, lag: (named.get(model) ?? version) - version }))
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

/** Whole numbers that add up to the total, by largest remainder. */
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

/** Workers keep their models up to each quota; the others are free for another model. */
function keepWithinQuotas(
  wanted: ReadonlyMap<string, ModelName>,
  quotas: ReadonlyMap<ModelName, number>,
): Map<string, ModelName> {
  const kept = new Map<string, ModelName>();
  const counts = new Map<ModelName, number>();
  for (const [worker, model] of wanted) {
    const count = counts.get(model) ?? 0;
    if (count >= (quotas.get(model) ?? 0)) continue;
    counts.set(model, count + 1);
    kept.set(worker, model);
  }
  return kept;
}

/** The model, among some, that misses most workers; the first of equals. */
function neediestModel(
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
