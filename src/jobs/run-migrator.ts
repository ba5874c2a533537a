/**
 * Migrates runs of items to other workers: stalled runs, runs on slow workers and, once a job is
 * closing, runs for which a moderately faster worker is available. Resuming on another worker costs
 * only processing the prompt again.
 */
import type { Milliseconds } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import type { ItemDispatcherOptions } from './item-dispatcher.js';
import { isFaster, isSlow, medianEventInterval, needsOf } from './item-placement.js';
import type { ItemRun } from './item-run.js';
import { ageOf } from './job-records.js';
import type { OwnedItem } from './owned-item.js';
import type { OwnedJob } from './owned-job.js';
import { PlacementRound } from './placement-round.js';

/** Minimum age of a run that is moved from a slow worker, and maximum moves of one item. */
const MIN_RUN_AGE: Milliseconds = 300;
const MAX_MOVES = 8;

type MoveCause = 'stalled' | 'slow-worker' | 'faster-elsewhere';

export type RunMigratorOptions = Pick<
  ItemDispatcherOptions,
  'registry' | 'clock' | 'log' | 'metrics' | 'distanceCost' | 'routes'
>;

/** Migrates runs that would finish sooner on another worker. */
export class RunMigrator {
  constructor(private readonly options: RunMigratorOptions) {}

  /** Moves all eligible runs of jobs whose requests may be sent; called periodically. */
  migrateRuns(jobs: Iterable<OwnedJob>): void {
    const now = this.options.clock.now();
    const median = medianEventInterval(this.options.registry.all());
    for (const job of jobs) {
      const isClosing = job.isClosing;
      for (const entry of job.items.values()) {
        const { run } = entry;
        if (run === undefined || entry.moveCount >= MAX_MOVES) continue;
        const mayMoveToFaster = isClosing && !entry.wasMovedToFaster;
        const cause = moveCauseOf(run, median, mayMoveToFaster, now);
        if (cause !== undefined) this.migrate(job, entry, run, cause, median);
      }
    }
  }

  /** Cancels a run so that its item is dispatched again, if another worker can take it now. */
  private migrate(
    job: OwnedJob,
    entry: OwnedItem,
    run: ItemRun,
    cause: MoveCause,
    median: Milliseconds,
  ): void {
    const { registry, clock, log, metrics, distanceCost } = this.options;
    const now = clock.now();
    const { worker: from } = run;
    const candidates = registry
      .available(from.record.service)
      .filter((worker) => worker !== from && !isSlow(worker, median))
      .filter((worker) => cause !== 'faster-elsewhere' || isFaster(worker, from));
    const needs = needsOf(job, entry, this.allowedRegionsOf(job, entry));
    const placementRound = new PlacementRound(candidates, now, distanceCost, registry.rules);
    const target = placementRound.place(needs, undefined);
    if (target === undefined) return;
    entry.moveCount += 1;
    if (cause === 'stalled') from.noteOutcome('stalled', now);
    if (cause === 'faster-elsewhere') entry.wasMovedToFaster = true;
    metrics.count('item_moves', { cause });
    log.decision('item-run-moved', {
      ...describeRun(job, entry, from, clock.wallTime()),
      cause,
      runMs: Math.round(now - run.startedAt),
    });
    run.cancel();
  }

  private allowedRegionsOf({ spec }: OwnedJob, { item }: OwnedItem): AllowedRegions {
    const routes = this.options.routes();
    const route = routes?.match(spec.host, item.path);
    return route === undefined ? undefined : routes?.allowedRegions(route, spec.tenant);
  }
}

/** Log fields of a decision about a run. */
export function describeRun(
  job: OwnedJob,
  entry: OwnedItem,
  worker: KnownWorker,
  wallTime: Milliseconds,
): Record<string, string | number> {
  return {
    item: entry.item.id,
    job: job.spec.id,
    worker: worker.record.id,
    events: entry.progress.eventCount,
    workerVersion: worker.versionOf(job.spec.model),
    minVersion: job.spec.minVersion,
    ageMs: Math.round(ageOf(job.spec, wallTime)),
  };
}

/**
 * Why a run should move. The last runs of a closing job delay its trainer, so a moderately faster
 * worker is sufficient, once per item.
 */
function moveCauseOf(
  run: ItemRun,
  median: Milliseconds,
  mayMoveToFaster: boolean,
  now: Milliseconds,
): MoveCause | undefined {
  if (run.isStalled(now)) return 'stalled';
  if (now - run.startedAt < MIN_RUN_AGE) return undefined;
  if (isSlow(run.worker, median)) return 'slow-worker';
  return mayMoveToFaster ? 'faster-elsewhere' : undefined;
}
