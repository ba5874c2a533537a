/** Sends the items of all jobs that this node runs to workers, and takes in how the runs end. */

import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { EnginePort } from '../serving/engine-port.js';
import type { RouteMatcher } from '../serving/route-matcher.js';
import type { Route } from '../serving/traffic-configuration.js';
import type { KnownWorker, WorkerRegistry } from '../serving/worker-registry.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { type ItemNeeds, isFaster, isSlow, medianPace, placeItem } from './item-placement.js';
import { ItemRun, type ItemRunContext, type ItemRunEnd } from './item-run.js';
import { ItemScorer } from './item-scorer.js';
import { ageOf } from './job-records.js';
import { cancelWork, type OwnedItem } from './owned-item.js';
import type { OwnedJob } from './owned-job.js';

/** Options of {@link ItemDispatcher}. */
export interface ItemDispatcherOptions {
  readonly engine: EnginePort;
  readonly versionField: string;
  readonly registry: WorkerRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  /** Zone of this node. */
  readonly zone: ZoneName;
  /** The routes in force; `undefined` before the first configuration. */
  readonly routes: () => RouteMatcher | undefined;
}

/** Silence after which a run is given up. Loading weights may pause a worker for a second. */
const SILENCE = { beforeFirst: 2_500, betweenEvents: 2_000 } as const;

/** Items may be given up after the route's time; clocks of machines differ, so it is exceeded. */
const GIVE_UP_MARGIN: Milliseconds = 10_000;

/** Pause before an item is sent again. */
const RETRY_PAUSE: Milliseconds = 40;
const FULL_PAUSE: Milliseconds = 80;
const FAILED_ATTEMPT_PAUSE: Milliseconds = 100;

/** Runs are not moved from slow workers before this age, nor moved more often than this. */
const LEAST_AGE_TO_MOVE: Milliseconds = 300;
const MOST_MOVES = 8;

/** Sends items to workers. */
export class ItemDispatcher {
  private readonly jobs = new Set<OwnedJob>();
  /** Worker that read the shared prompt of a group last, by job and group. */
  private readonly promptWorkers = new Map<string, string>();
  private readonly runContext: ItemRunContext;
  private readonly scorer: ItemScorer;
  private isScheduled = false;
  private isStopped = false;

  constructor(private readonly options: ItemDispatcherOptions) {
    const { engine, clock, versionField } = options;
    this.runContext = { engine, clock, versionField, silence: SILENCE };
    this.scorer = new ItemScorer({ ...options, ended: () => this.schedule() });
  }

  /** Takes in a job whose items are to be run. */
  add(job: OwnedJob): void {
    this.jobs.add(job);
    this.schedule();
  }

  /** Sends nothing more. */
  stop(): void {
    this.isStopped = true;
  }

  /** Looks for items to send soon; many calls in a row cost one look. */
  schedule(): void {
    if (this.isScheduled || this.isStopped) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.dispatch();
    });
  }

  /** Runs under way. */
  get running(): number {
    let count = 0;
    for (const job of this.jobs) {
      for (const entry of job.items.values()) if (entry.run !== undefined) count += 1;
    }
    return count;
  }

  /** Regular work: what is overdue is sent, given up or moved. */
  tick(): void {
    this.dropClosedJobs();
    for (const job of this.jobs) this.giveUpExpired(job);
    this.moveRuns();
    this.dispatch();
  }

  private dropClosedJobs(): void {
    for (const job of this.jobs) {
      if (job.isOpen) continue;
      this.jobs.delete(job);
      for (const key of this.promptWorkers.keys()) {
        if (key.startsWith(`${job.spec.id}/`)) this.promptWorkers.delete(key);
      }
    }
  }

  private dispatch(): void {
    const routes = this.options.routes();
    if (routes === undefined || this.isStopped) return;
    const now = this.options.clock.now();
    const inOrder = [...this.jobs].sort((a, b) => a.spec.submittedAt - b.spec.submittedAt);
    for (const job of inOrder) {
      if (!job.isOpen) continue;
      const waiting = job.waiting(now);
      waiting.sort(byUrgency);
      for (const entry of waiting) this.start(job, entry, routes, now);
    }
    this.scorer.dispatch(inOrder, routes);
  }

  private start(job: OwnedJob, entry: OwnedItem, routes: RouteMatcher, now: Milliseconds): void {
    const route = routes.match(job.spec.host, entry.item.path);
    const service = route === undefined ? undefined : routes.nextService(route);
    if (route === undefined || service === undefined) return;
    const workers = this.options.registry.available(service);
    const groupKey = `${job.spec.id}/${entry.item.group}`;
    const shared = this.promptWorkers.get(groupKey);
    const worker = placeItem(workers, needsOf(job, entry), shared, now);
    if (worker === undefined) return;
    this.promptWorkers.set(groupKey, worker.record.id);
    void this.run(job, entry, route, worker);
  }

  private async run(
    job: OwnedJob,
    entry: OwnedItem,
    route: Route,
    worker: KnownWorker,
  ): Promise<void> {
    const { item, progress } = entry;
    const run = new ItemRun(this.runContext, worker, progress);
    entry.run = run;
    entry.state = 'running';
    worker.inFlight += 1;
    const resumeAfter = progress.lastEventId;
    const end = await run.perform({
      worker: worker.record,
      requestId: item.id,
      method: 'POST',
      path: item.path,
      host: job.spec.host,
      headers: item.headers,
      body: Buffer.from(item.body, 'base64'),
      remaining: undefined,
      ...(resumeAfter === undefined ? {} : { lastEventId: resumeAfter }),
    });
    worker.inFlight -= 1;
    entry.run = undefined;
    if (entry.state === 'running') entry.state = 'waiting';
    this.takeEnd(job, entry, route, worker, end);
    this.schedule();
  }

  private takeEnd(
    job: OwnedJob,
    entry: OwnedItem,
    route: Route,
    worker: KnownWorker,
    end: ItemRunEnd,
  ): void {
    const now = this.options.clock.now();
    this.noteWorker(worker, end, now);
    this.options.metrics.count('item_runs', { end });
    entry.notBefore = now + pauseAfter(end);
    if (end === 'completed') {
      job.completeText(entry);
      const age = ageOf(job.spec, this.options.clock.wallTime());
      this.options.metrics.observe('item_seconds', {}, age);
    }
    if (end === 'attempt-failed') entry.failedAttempts += 1;
    if (end === 'impossible' || entry.failedAttempts >= route.maxAttempts) {
      job.finish(entry, entry.progress.toTerminated(entry.item.id));
    }
    if (end === 'cancelled') return;
    const details = this.describe(job, entry, worker);
    if (end === 'completed') this.options.log.decision('item-run-completed', details);
    else this.options.log.decision('item-run-ended', { ...details, end });
    job.advance();
  }

  private describe(
    job: OwnedJob,
    entry: OwnedItem,
    worker: KnownWorker,
  ): Record<string, string | number> {
    return {
      item: entry.item.id,
      job: job.spec.id,
      worker: worker.record.id,
      events: entry.progress.eventCount,
      workerVersion: worker.versionOf(job.spec.model),
      minVersion: job.spec.minVersion,
      ageMs: Math.round(ageOf(job.spec, this.options.clock.wallTime())),
    };
  }

  private noteWorker(worker: KnownWorker, end: ItemRunEnd, now: Milliseconds): void {
    if (end === 'completed') worker.noteOutcome('success', now);
    else if (end === 'full') worker.noteOutcome('full', now);
    else if (end === 'gone' || end === 'interrupted') worker.noteOutcome('failure', now);
  }

  private giveUpExpired(job: OwnedJob): void {
    const route = this.options.routes()?.match(job.spec.host, job.spec.path);
    if (route === undefined || !job.isOpen) return;
    const age = ageOf(job.spec, this.options.clock.wallTime());
    if (age < route.maxQueue + GIVE_UP_MARGIN) return;
    for (const entry of job.items.values()) {
      cancelWork(entry);
      job.finish(entry, entry.progress.toTerminated(entry.item.id));
    }
    job.advance();
  }

  /** A stream goes on elsewhere at the price of reading its prompt again, which is little. */
  private moveRuns(): void {
    const now = this.options.clock.now();
    const median = medianPace(this.options.registry.all());
    for (const job of this.jobs) {
      const isClosing = job.isClosing;
      for (const entry of job.items.values()) {
        const { run } = entry;
        if (run === undefined || entry.moves >= MOST_MOVES) continue;
        const mayGoFaster = isClosing && !entry.hasGoneFaster;
        const cause = reasonToMove(run, median, mayGoFaster, now);
        if (cause !== undefined) this.move(job, entry, run, cause, median);
      }
    }
  }

  /** Ends a run so that its item goes on elsewhere, if another worker can take it now. */
  private move(
    job: OwnedJob,
    entry: OwnedItem,
    run: ItemRun,
    cause: MoveCause,
    median: Milliseconds,
  ): void {
    const now = this.options.clock.now();
    const { worker: from } = run;
    const others = this.options.registry
      .available(from.record.service)
      .filter((worker) => worker !== from && !isSlow(worker, median))
      .filter((worker) => cause !== 'faster-elsewhere' || isFaster(worker, from));
    const target = placeItem(others, needsOf(job, entry), undefined, now);
    if (target === undefined) return;
    entry.moves += 1;
    if (cause === 'stalled') from.noteOutcome('stalled', now);
    if (cause === 'faster-elsewhere') entry.hasGoneFaster = true;
    this.options.metrics.count('item_moves', { cause });
    this.options.log.decision('item-run-moved', {
      ...this.describe(job, entry, from),
      cause,
      runMs: Math.round(now - run.startedAt),
    });
    run.cancel();
  }
}

/** Why a run is moved to another worker. */
type MoveCause = 'stalled' | 'slow-worker' | 'faster-elsewhere';

/**
 * Why a run should move. Once most of a job is done, the runs that are left are its longest and
 * hold its trainer up: then a somewhat faster worker is reason enough, once for each item.
 */
function reasonToMove(
  run: ItemRun,
  median: Milliseconds,
  mayGoFaster: boolean,
  now: Milliseconds,
): MoveCause | undefined {
  if (run.isStalled(now)) return 'stalled';
  if (now - run.startedAt < LEAST_AGE_TO_MOVE) return undefined;
  if (isSlow(run.worker, median)) return 'slow-worker';
  return mayGoFaster ? 'faster-elsewhere' : undefined;
}

/** Items that were begun go on first, then the longest. */
function byUrgency(left: OwnedItem, right: OwnedItem): number {
  const begun = Number(right.progress.eventCount > 0) - Number(left.progress.eventCount > 0);
  return begun === 0 ? right.item.expectedLength - left.item.expectedLength : begun;
}

function needsOf(job: OwnedJob, entry: OwnedItem): ItemNeeds {
  const { model, minVersion } = job.spec;
  return { model, minVersion, boundVersion: entry.progress.boundVersion };
}

function pauseAfter(end: ItemRunEnd): Milliseconds {
  if (end === 'full') return FULL_PAUSE;
  if (end === 'attempt-failed') return FAILED_ATTEMPT_PAUSE;
  return end === 'cancelled' ? 0 : RETRY_PAUSE;
}
