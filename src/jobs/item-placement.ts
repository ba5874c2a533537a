/**
 * Which item goes to which worker next. Earlier jobs go first; within a job the longest items, as
 * the trainer waits for nearly all of them and a long one that begins late holds up its step.
 */
import type { ModelName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import type { OwnedItem } from './owned-item.js';
import type { OwnedJob } from './owned-job.js';

/** What a worker must offer for an item. */
export interface ItemNeeds {
  readonly model: ModelName;
  readonly minVersion: WeightVersion;
  /** How long the item is expected to run, against the mean of its job. */
  readonly relativeLength: number;
  /** The only version that fits, where events exist that must not be mixed. */
  readonly boundVersion: WeightVersion | undefined;
  /** Regions whose workers may run it. @default any */
  readonly allowedRegions?: AllowedRegions;
}

/** Weight of a worker's occupied share beside its pace, in multiples of the median pace. */
const OCCUPANCY_WEIGHT = 0.6;

/**
 * A slow worker costs a long item seconds and a short one little, so the pace weighs by the item's
 * length, within these limits: guesses of lengths are often far off.
 */
const LEAST_LENGTH_WEIGHT = 0.25;
const LARGEST_LENGTH_WEIGHT = 4;

/** An item that goes on after a break was mostly a long one: it counts as this many means at least. */
const RESUMED_LENGTH = 3;

/** Gain of a worker that has read the group's shared prompt. */
const SHARED_PROMPT_GAIN = 0.15;

/** A worker counts as slow if its pace is this many times the median. */
const SLOW_PACE_RATIO = 1.7;

/** A worker counts as faster than another if the other's pace is this many times its own. */
const FASTER_PACE_RATIO = 1.15;

/** What the next run of an item needs. */
export function needsOf(
  job: OwnedJob,
  { item, progress }: OwnedItem,
  allowedRegions: AllowedRegions,
): ItemNeeds {
  const { model, minVersion } = job.spec;
  const guess = item.expectedLength / job.meanExpectedLength;
  const relativeLength = progress.eventCount > 0 ? Math.max(RESUMED_LENGTH, guess) : guess;
  const { boundVersion } = progress;
  return { model, minVersion, relativeLength, boundVersion, allowedRegions };
}

/** Whether a worker may run an item now. */
export function mayRun(worker: KnownWorker, needs: ItemNeeds, now: Milliseconds): boolean {
  if (!worker.hasFreeSlot(now) || worker.isLoading(needs.model, now)) return false;
  const version = worker.versionOf(needs.model);
  if (version < needs.minVersion) return false;
  return needs.boundVersion === undefined || version === needs.boundVersion;
}

/** Median pace of the workers that have one; 1 where none has. */
export function medianPace(workers: readonly KnownWorker[]): Milliseconds {
  const paces = workers.map((worker) => worker.eventInterval).filter((pace) => pace !== undefined);
  paces.sort((left, right) => left - right);
  return paces[Math.floor(paces.length / 2)] ?? 1;
}

/** Whether a worker makes events much more slowly than most. */
export function isSlow(worker: KnownWorker, median: Milliseconds): boolean {
  return worker.eventInterval !== undefined && worker.eventInterval > SLOW_PACE_RATIO * median;
}

/** Whether a worker makes events so much faster than another that a long run should move there. */
export function isFaster(worker: KnownWorker, than: KnownWorker): boolean {
  if (worker.eventInterval === undefined || than.eventInterval === undefined) return false;
  return worker.eventInterval * FASTER_PACE_RATIO <= than.eventInterval;
}

/** How little a worker suits an item: the least is the best. */
export function placementScore(
  needs: ItemNeeds,
  median: Milliseconds,
  sharedPromptWorker: string | undefined,
  now: Milliseconds,
): (worker: KnownWorker) => number {
  const lengthWeight = Math.min(
    LARGEST_LENGTH_WEIGHT,
    Math.max(LEAST_LENGTH_WEIGHT, needs.relativeLength),
  );
  return (worker) => {
    const pace = (worker.eventInterval ?? median) / median;
    const occupied = worker.occupancy(now) / worker.record.slots;
    const shared = worker.record.id === sharedPromptWorker ? SHARED_PROMPT_GAIN : 0;
    return lengthWeight * pace + OCCUPANCY_WEIGHT * occupied - shared;
  };
}
