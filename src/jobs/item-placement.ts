/** Scores how well a worker suits an item, by event interval, occupancy and shared prompts. */
import type { ModelName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import type { OwnedItem } from './owned-item.js';
import type { OwnedJob } from './owned-job.js';

/** Requirements of an item's next run on its worker. */
export interface ItemNeeds {
  readonly model: ModelName;
  readonly minVersion: WeightVersion;
  /** Expected length divided by the mean expected length of the job's items. */
  readonly relativeLength: number;
  /** The version of the item's existing events if versions must not be mixed. */
  readonly boundVersion: WeightVersion | undefined;
  /** Regions whose workers may run the item. @default any */
  readonly allowedRegions?: AllowedRegions;
  /**
   * Whether a worker that answered its latest request is preferred to any other, because the last run
   * of the item got no answer. @default false
   */
  readonly prefersResponsive?: boolean;
}

/** Weight of a worker's occupied share, in multiples of the median event interval. */
const OCCUPANCY_WEIGHT = 0.6;

/**
 * Bounds of the length weight. The event interval is weighted by the item's expected length,
 * because a slow worker delays long items most; the weight is bounded because lengths are rough
 * estimates.
 */
const MIN_LENGTH_WEIGHT = 0.25;
const MAX_LENGTH_WEIGHT = 4;

/** Minimum relative length of a resumed item, because mostly long items are interrupted. */
const MIN_RESUMED_LENGTH = 3;

/** Score reduction for the worker that has cached the group's shared prompt. */
const SHARED_PROMPT_BONUS = 0.15;

/** Ratio of a worker's event interval to the median above which the worker counts as slow. */
const SLOW_INTERVAL_RATIO = 1.7;

/** Minimum ratio of two workers' event intervals for one to count as faster. */
const FASTER_INTERVAL_RATIO = 1.15;

/** Requirements of the next run of an item. */
export function needsOf(
  job: OwnedJob,
  { item, progress, wasUnanswered }: OwnedItem,
  allowedRegions: AllowedRegions,
): ItemNeeds {
  const { model, minVersion } = job.spec;
  const estimate = item.expectedLength / job.meanExpectedLength;
  const relativeLength =
    progress.eventCount > 0 ? Math.max(MIN_RESUMED_LENGTH, estimate) : estimate;
  const { boundVersion } = progress;
  const prefersResponsive = wasUnanswered;
  return { model, minVersion, relativeLength, boundVersion, allowedRegions, prefersResponsive };
}

/** Whether a worker has a free slot and suitable weights for an item. */
export function mayRun(worker: KnownWorker, needs: ItemNeeds, now: Milliseconds): boolean {
  if (!worker.hasFreeSlot(now) || worker.isLoading(needs.model, now)) return false;
  const version = worker.versionOf(needs.model);
  if (version < needs.minVersion) return false;
  return needs.boundVersion === undefined || version === needs.boundVersion;
}

/** Median event interval of the workers with a measured one; 1 if there are none. */
export function medianEventInterval(workers: readonly KnownWorker[]): Milliseconds {
  const intervals = workers
    .map((worker) => worker.eventInterval)
    .filter((interval) => interval !== undefined);
  intervals.sort((left, right) => left - right);
  return intervals[Math.floor(intervals.length / 2)] ?? 1;
}

/** Whether a worker generates events much more slowly than the median. */
export function isSlow(worker: KnownWorker, median: Milliseconds): boolean {
  return worker.eventInterval !== undefined && worker.eventInterval > SLOW_INTERVAL_RATIO * median;
}

/** Whether a worker is enough faster than another to justify moving a long run to it. */
export function isFaster(worker: KnownWorker, than: KnownWorker): boolean {
  if (worker.eventInterval === undefined || than.eventInterval === undefined) return false;
  return worker.eventInterval * FASTER_INTERVAL_RATIO <= than.eventInterval;
}

/** Returns the scoring function of an item; the worker with the lowest score suits it best. */
export function placementScore(
  needs: ItemNeeds,
  median: Milliseconds,
  sharedPromptWorker: string | undefined,
  now: Milliseconds,
): (worker: KnownWorker) => number {
  const lengthWeight = Math.min(
    MAX_LENGTH_WEIGHT,
    Math.max(MIN_LENGTH_WEIGHT, needs.relativeLength),
  );
  return (worker) => {
    const relativeInterval = (worker.eventInterval ?? median) / median;
    const occupiedShare = worker.occupancy(now) / worker.record.slots;
    const promptBonus = worker.record.id === sharedPromptWorker ? SHARED_PROMPT_BONUS : 0;
    return lengthWeight * relativeInterval + OCCUPANCY_WEIGHT * occupiedShare - promptBonus;
  };
}
