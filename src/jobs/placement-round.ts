/**
 * Places a batch of items on the workers of one service. The median event interval and the list of
 * workers with free slots are computed once per batch.
 */
import type { Milliseconds } from '../core/units.js';
import type { DistanceCost } from '../placement/distance-costs.js';
import { SendRules } from '../placement/send-rules.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import { type ItemNeeds, mayRun, medianEventInterval, placementScore } from './item-placement.js';
import { placementObstacle } from './placement-obstacle.js';
import type { Obstacle } from './work-wait.js';

/**
 * Maximum number of workers compared for one item. A random sample of a large fleet almost always
 * contains a fast, idle worker, and owners that place items independently collide less often.
 */
const MAX_COMPARED = 64;

/** Number of unsuitable workers in one search after which full ones are removed from the list. */
const MAX_SKIPPED = 64;

/** One batch of placements. */
export class PlacementRound {
  private readonly medianEventInterval: Milliseconds;
  private freeWorkers: readonly KnownWorker[];
  /** Start of the next search; random at first, so that owners start at different workers. */
  private cursor: number;
  /** Requirements that no worker meets; workers only become fuller within a round. */
  private readonly unmetNeeds = new Set<string>();
  /** By unmet requirements. */
  private readonly obstacles = new Map<string, Obstacle>();

  /**
   * `distanceCost`: cost of sending to a worker in a zone; without it, all zones are equal.
   * `rules`: determine which workers may receive work.
   */
  constructor(
    private readonly workers: readonly KnownWorker[],
    private readonly now: Milliseconds,
    private readonly distanceCost?: DistanceCost,
    private readonly rules: SendRules = new SendRules(),
  ) {
    this.medianEventInterval = medianEventInterval(workers);
    this.freeWorkers = workers.filter((worker) => worker.hasFreeSlot(now));
    const isLarge = this.freeWorkers.length > MAX_COMPARED;
    this.cursor = isLarge ? Math.floor(Math.random() * this.freeWorkers.length) : 0;
  }

  /** The best worker for an item, or `undefined` if none can run it. */
  place(needs: ItemNeeds, sharedPromptWorker: string | undefined): KnownWorker | undefined {
    const key = keyOf(needs);
    if (this.unmetNeeds.has(key)) return undefined;
    const candidates = this.candidates(needs, sharedPromptWorker);
    if (candidates.length === 0) this.unmetNeeds.add(key);
    const score = this.scoreFor(needs, sharedPromptWorker);
    let best: { readonly worker: KnownWorker; readonly score: number } | undefined;
    for (const worker of this.preferred(candidates, needs)) {
      const workerScore = score(worker);
      if (best === undefined || workerScore < best.score) best = { worker, score: workerScore };
    }
    return best?.worker;
  }

  /** Why {@link place} found no worker for an item with these needs; searches all workers once. */
  obstacleTo(needs: ItemNeeds): Obstacle {
    const key = keyOf(needs);
    const known = this.obstacles.get(key);
    if (known !== undefined) return known;
    const obstacle = placementObstacle(needs, this.workers, this.rules, this.now);
    this.obstacles.set(key, obstacle);
    return obstacle;
  }

  /** The candidates to choose among: without those that are only a last choice, if others are left. */
  private preferred(
    candidates: readonly KnownWorker[],
    { prefersResponsive = false }: ItemNeeds,
  ): readonly KnownWorker[] {
    const unpenalized = candidates.filter((worker) => !worker.isPenalized(this.now));
    const sound = unpenalized.length > 0 ? unpenalized : candidates;
    const responsive = prefersResponsive ? sound.filter((worker) => worker.isResponsive) : [];
    return responsive.length > 0 ? responsive : sound;
  }

  private scoreFor(
    needs: ItemNeeds,
    sharedPromptWorker: string | undefined,
  ): (worker: KnownWorker) => number {
    const score = placementScore(needs, this.medianEventInterval, sharedPromptWorker, this.now);
    const { distanceCost } = this;
    if (distanceCost === undefined) return score;
    return (worker) => score(worker) + distanceCost(worker.record.zone);
  }

  private isEligible(worker: KnownWorker, needs: ItemNeeds): boolean {
    if (!mayRun(worker, needs, this.now)) return false;
    return this.rules.mayReceive(worker.record, needs.allowedRegions);
  }

  private candidates(needs: ItemNeeds, sharedPromptWorker: string | undefined): KnownWorker[] {
    if (this.freeWorkers.length <= MAX_COMPARED) {
      return this.freeWorkers.filter((worker) => this.isEligible(worker, needs));
    }
    const found: KnownWorker[] = [];
    let skipped = 0;
    const { freeWorkers, cursor } = this;
    for (let step = 0; step < freeWorkers.length && found.length < MAX_COMPARED; step += 1) {
      const worker = freeWorkers[(cursor + step) % freeWorkers.length];
      if (worker !== undefined && this.isEligible(worker, needs)) found.push(worker);
      else skipped += 1;
    }
    const shared = freeWorkers.find((worker) => worker.record.id === sharedPromptWorker);
    if (shared !== undefined && this.isEligible(shared, needs)) found.push(shared);
    this.cursor = (cursor + found.length) % freeWorkers.length;
    if (skipped > MAX_SKIPPED)
      this.freeWorkers = freeWorkers.filter((worker) => worker.hasFreeSlot(this.now));
    return found;
  }
}

/** Equal for items with the same requirements. */
function keyOf({ model, minVersion, boundVersion, allowedRegions }: ItemNeeds): string {
  return `${model}/${minVersion}/${boundVersion ?? ''}/${allowedRegions?.join() ?? 'any'}`;
}
