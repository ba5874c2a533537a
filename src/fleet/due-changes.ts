/** Selects the workers of a model that have to change to a version now. */
import type { ModelName } from '../core/identity.js';
import type { WeightVersion } from '../core/units.js';
import type { KnownWorker } from '../serving/worker-registry.js';

/**
 * Share of a model's workers that changes at once if only one version is missing; the others follow
 * after a delay. Trainers that tolerate one version of lag can then use all workers, while only
 * half of them load at each step.
 */
const IMMEDIATE_SHARE = 0.5;

/** Maximum number of missing versions at which a worker is still usable for most trainers. */
const MAX_USABLE_LAG = 1;

export interface RolloutTarget {
  readonly model: ModelName;
  readonly version: WeightVersion;
  /** Oldest version that an open job may use; 0 if none is known. */
  readonly required: WeightVersion;
}

/** A change that a worker has yet to make. */
export interface PendingChange {
  readonly worker: KnownWorker;
  readonly model: ModelName;
  readonly version: WeightVersion;
  /**
   * Share of the model's workers that are usable before this change; 1 if this worker is usable
   * already. The smallest share goes first, so that every model has some usable workers.
   */
  readonly usableShare: number;
}

/**
 * Returns the changes that are due for one model among the workers that hold it. `mayWait` lets
 * usable workers beyond the immediate share wait.
 */
export function dueChanges(
  holders: readonly KnownWorker[],
  target: RolloutTarget,
  mayWait: boolean,
  isChanging: (worker: KnownWorker) => boolean,
): PendingChange[] {
  const { model, version, required } = target;
  const behind = holders.filter((worker) => worker.versionOf(model) < version);
  const changingCount = behind.filter(isChanging).length;
  const updatedOrChangingCount = holders.length - behind.length + changingCount;
  const isUnusable = (worker: KnownWorker): boolean => {
    const heldVersion = worker.versionOf(model);
    return heldVersion < required || version - heldVersion > MAX_USABLE_LAG;
  };
  const isWaiting = (worker: KnownWorker): boolean => !isChanging(worker);
  let usableCount =
    holders.length - behind.filter((worker) => isUnusable(worker) && isWaiting(worker)).length;
  const changes: PendingChange[] = [];
  let remainingImmediate = Math.ceil(holders.length * IMMEDIATE_SHARE) - updatedOrChangingCount;
  const byLag = [...behind].sort((a, b) => a.versionOf(model) - b.versionOf(model));
  for (const worker of byLag) {
    if (isChanging(worker)) continue;
    const isUnusableNow = isUnusable(worker);
    if (!isUnusableNow && mayWait && remainingImmediate <= 0) continue;
    remainingImmediate -= 1;
    const usableShare = isUnusableNow ? usableCount / holders.length : 1;
    if (isUnusableNow) usableCount += 1;
    changes.push({ worker, model, version, usableShare });
  }
  return changes;
}
