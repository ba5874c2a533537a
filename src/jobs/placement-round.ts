/**
 * Places a batch of items on the workers of one service. The median event interval and the list of
 * workers with free slots are computed once per batch.
 */
import type { Milliseconds } from '../core/units.js';
import type { DistanceCost } from '../placement/distance-costs.js';
import { SendRules } from '../placement/send-rules.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import { type ItemNeeds, mayRun, medianPace, placementScore } from './item-placement.js';

/**
 * Maximum number of workers compared for one item. A random sample of a large fleet almost always
 * contains a fast, idle worker, and owners that place items independently collide less often.
 */
const MOST_COMPARED = 64;

/** Number of unsuitable workers in one search after which full ones are removed from the list. */
const MOST_PASSED_OVER = 64;

/** One batch of placements. */
export class PlacementRound {
  private readonly median: Milliseconds;
  private free: readonly KnownWorker[];
  /** Start of the next search; random at first, so that owners start at different workers. */
  private cursor: number;
  /** Requirements that no worker meets; workers only become fuller within a round. */
  private readonly unmet = new Set<string>();

  /**
   * `wayCost`: what the way to a worker of a zone costs; any zone is as good where it is not given.
   * `rules`: which workers may be sent work.
   */
  constructor(
    workers: readonly KnownWorker[],
    private readonly now: Milliseconds,
    private readonly wayCost?: DistanceCost,
    private readonly rules: SendRules = new SendRules(),
  ) {
    this.median = medianPace(workers);
    this.free = workers.filter((worker) => worker.hasFreeSlot(now));
    const isLarge = this.free.length > MOST_COMPARED;
    this.cursor = isLarge ? Math.floor(Math.random() * this.free.length) : 0;
  }

  /** The best worker for an item, or `undefined` if none can run it. */
  place(needs: ItemNeeds, sharedPromptWorker: string | undefined): KnownWorker | undefined {
    const regions = needs.allowedRegions?.join() ?? 'any';
    const key = `${needs.model}/${needs.minVersion}/${needs.boundVersion ?? ''}/${regions}`;
    if (this.unmet.has(key)) return undefined;
    const candidates = this.candidates(needs, sharedPromptWorker);
    if (candidates.length === 0) this.unmet.add(key);
    const score = this.scoreFor(needs, sharedPromptWorker);
    let best: { readonly worker: KnownWorker; readonly score: number } | undefined;
    for (const worker of candidates) {
      const own = score(worker);
      if (best === undefined || own < best.score) best = { worker, score: own };
    }
    return best?.worker;
  }

  private scoreFor(
    needs: ItemNeeds,
    sharedPromptWorker: string | undefined,
  ): (worker: KnownWorker) => number {
    const score = placementScore(needs, this.median, sharedPromptWorker, this.now);
    const { wayCost } = this;
    if (wayCost === undefined) return score;
    return (worker) => score(worker) + wayCost(worker.record.zone);
  }

  private mayTake(worker: KnownWorker, needs: ItemNeeds): boolean {
    if (!mayRun(worker, needs, this.now)) return false;
    return this.rules.mayReceive(worker.record, needs.allowedRegions);
  }

  private candidates(needs: ItemNeeds, sharedPromptWorker: string | undefined): KnownWorker[] {
    if (this.free.length <= MOST_COMPARED) {
      return this.free.filter((worker) => this.mayTake(worker, needs));
    }
    const found: KnownWorker[] = [];
    let passedOver = 0;
    const { free, cursor } = this;
    for (let step = 0; step < free.length && found.length < MOST_COMPARED; step += 1) {
      const worker = free[(cursor + step) % free.length];
      if (worker !== undefined && this.mayTake(worker, needs)) found.push(worker);
      else passedOver += 1;
    }
    const shared = free.find((worker) => worker.record.id === sharedPromptWorker);
    if (shared !== undefined && this.mayTake(shared, needs)) found.push(shared);
    this.cursor = (cursor + found.length) % free.length;
    if (passedOver > MOST_PASSED_OVER) this.free = free.filter((one) => one.hasFreeSlot(this.now));
    return found;
  }
}
