/** Finds out why no worker can run an item. */
import type { Milliseconds } from '../core/units.js';
import type { SendRules } from '../placement/send-rules.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import type { ItemNeeds } from './item-placement.js';
import type { Obstacle, WaitReason } from './work-wait.js';

/** One requirement of an item, and the reason to wait if no worker meets it. */
interface Requirement {
  readonly reason: WaitReason;
  readonly isMet: (worker: KnownWorker) => boolean;
}

/** In the order in which workers are excluded: what lasts longest comes first. */
function requirementsOf(needs: ItemNeeds, now: Milliseconds): readonly Requirement[] {
  const { model, minVersion, boundVersion } = needs;
  const isBound = boundVersion !== undefined;
  return [
    { reason: 'weights-too-old', isMet: (worker) => worker.versionOf(model) >= minVersion },
    {
      reason: 'weights-differ',
      isMet: (worker) => !isBound || worker.versionOf(model) === boundVersion,
    },
    { reason: 'weights-loading', isMet: (worker) => !worker.isLoading(model, now) },
    { reason: 'workers-penalized', isMet: (worker) => !worker.isExcluded(now) },
    { reason: 'workers-full', isMet: (worker) => worker.hasFreeSlot(now) },
  ];
}

/**
 * The requirement that excludes the last of a service's workers. `workers` counts all of them,
 * `candidates` those that meet the requirements before it.
 */
export function placementObstacle(
  needs: ItemNeeds,
  workers: readonly KnownWorker[],
  rules: SendRules,
  now: Milliseconds,
): Obstacle {
  const { minVersion, boundVersion, allowedRegions } = needs;
  const bound = boundVersion === undefined ? {} : { boundVersion };
  const obstacle = (reason: WaitReason, candidates: readonly KnownWorker[]): Obstacle => {
    const counts = { workers: workers.length, candidates: candidates.length };
    return { reason, inputs: { ...counts, minVersion, ...bound } };
  };
  if (workers.length === 0) return obstacle('no-worker', []);
  let candidates = workers;
  for (const { reason, isMet } of requirementsOf(needs, now)) {
    const remaining = candidates.filter(isMet);
    if (remaining.length === 0) return obstacle(reason, candidates);
    candidates = remaining;
  }
  const [first] = candidates;
  const rejection = first && rules.rejectionOf(first.record, allowedRegions);
  return obstacle(rejection ?? 'workers-full', candidates);
}
