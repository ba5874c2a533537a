/** Which workers have to change to a version now, among those that serve its model. */
import type { ModelName } from '../core/identity.js';
import type { WeightVersion } from '../core/units.js';
import type { KnownWorker } from '../serving/worker-registry.js';

/**
 * Where only one version is missing, the workers beyond this share change after the delay below.
 * Trainers that allow one version of lag then find all workers usable at any time, while only half
 * of them load at each step.
 */
const SHARE_AT_ONCE = 0.5;

/** Versions that a worker may miss without being unusable for most trainers. */
const TOLERATED_LAG = 1;

/** A version to roll out. */
export interface RolloutTarget {
  readonly model: ModelName;
  readonly version: WeightVersion;
  /** Oldest version that an open job may use; 0 where none is known. */
  readonly required: WeightVersion;
}

/** What one worker still has to do. */
export interface PendingChange {
  readonly worker: KnownWorker;
  readonly model: ModelName;
  readonly version: WeightVersion;
  /**
   * Share of the model's workers that are usable before this change is made; 1 where this worker is
   * usable already. Smaller is sooner: no model waits while another one is nearly done.
   */
  readonly usableShare: number;
}

/** Changes that are due for one model, among the workers that hold it. */
export function dueChanges(
  holders: readonly KnownWorker[],
  target: RolloutTarget,
  mayWait: boolean,
  isChanging: (worker: KnownWorker) => boolean,
): PendingChange[] {
  const { model, version, required } = target;
  const behind = holders.filter((worker) => worker.versionOf(model) < version);
  const changing = behind.filter(isChanging).length;
  const current = holders.length - behind.length + changing;
  const isUnusable = (worker: KnownWorker): boolean => {
    const held = worker.versionOf(model);
    return held < required || version - held > TOLERATED_LAG;
  };
  const isWaiting = (worker: KnownWorker): boolean => !isChanging(worker);
  let usable = holders.length - behind.filter((one) => isUnusable(one) && isWaiting(one)).length;
  const changes: PendingChange[] = [];
  let room = Math.ceil(holders.length * SHARE_AT_ONCE) - current;
  const byLag = [...behind].sort((a, b) => a.versionOf(model) - b.versionOf(model));
  for (const worker of byLag) {
    if (isChanging(worker)) continue;
    const isLost = isUnusable(worker);
    if (!isLost && mayWait && room <= 0) continue;
    room -= 1;
    const usableShare = isLost ? usable / holders.length : 1;
    if (isLost) usable += 1;
    changes.push({ worker, model, version, usableShare });
  }
  return changes;
}
