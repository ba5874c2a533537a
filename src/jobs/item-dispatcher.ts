/** Dispatches items of owned jobs to workers and handles the outcomes of their runs. */

import type { Milliseconds } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { DistanceCost } from '../placement/distance-costs.js';
import type { EngineRequest } from '../serving/engine-port.js';
import type { RouteMatcher } from '../serving/route-matcher.js';
import type { SendingOptions } from '../serving/sending-options.js';
import type { Route } from '../serving/traffic-configuration.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import { crashDelay } from './crash-backoff.js';
import { ItemPlacer } from './item-placer.js';
import { ItemRun, type ItemRunContext, type ItemRunEnd } from './item-run.js';
import { ItemScorer } from './item-scorer.js';
import { ageOf } from './job-records.js';
import { cancelWork, type OwnedItem } from './owned-item.js';
import type { OwnedJob } from './owned-job.js';
import { describeRun, RunMigrator } from './run-migrator.js';
import { SendingPermission } from './sending-permission.js';
import { WaitReporter } from './wait-reporter.js';
import type { Obstacle } from './work-wait.js';

export interface ItemDispatcherOptions extends SendingOptions {
  /** The routes in force; `undefined` before the first configuration. */
  readonly routes: () => RouteMatcher | undefined;
  /**
   * Whether the store is unreachable from this node. Only then are requests of unconfirmed jobs
   * sent.
   */
  readonly isStoreUnreachable: () => boolean;
  /** Distance cost of sending to a worker in a zone. @default no zone has a cost */
  readonly distanceCost?: DistanceCost | undefined;
}

/** Idle timeouts of a run. A worker may pause its streams for a second while it loads weights. */
const IDLE_TIMEOUTS = { beforeFirst: 2_500, betweenEvents: 2_000 } as const;

/** Added to the route's queue limit before items are terminated, since machine clocks differ. */
const EXPIRY_MARGIN: Milliseconds = 10_000;

/** Delay before an item is retried after an interrupted run. */
const RETRY_DELAY: Milliseconds = 40;
/** Short, because the worker that rejected the item is skipped and another one is tried. */
const REJECTION_RETRY_DELAY: Milliseconds = 10;
const FAILED_ATTEMPT_RETRY_DELAY: Milliseconds = 100;

/** Dispatches items to workers, moves slow runs and requests scores. */
export class ItemDispatcher {
  private readonly jobs = new Set<OwnedJob>();
  private readonly placer: ItemPlacer;
  private readonly runContext: ItemRunContext;
  private readonly scorer: ItemScorer;
  private readonly migrator: RunMigrator;
  private readonly permission: SendingPermission;
  private readonly waitReporter: WaitReporter;
  private isScheduled = false;
  private isStopped = false;

  constructor(private readonly options: ItemDispatcherOptions) {
    const { engine, clock, versionField } = options;
    this.runContext = { engine, clock, versionField, idleTimeouts: IDLE_TIMEOUTS };
    this.placer = new ItemPlacer(options);
    this.migrator = new RunMigrator(options);
    this.permission = new SendingPermission(options);
    this.waitReporter = new WaitReporter({ ...options, permission: this.permission });
    this.scorer = new ItemScorer({ ...options, onCallEnded: () => this.schedule() });
  }

  /** Registers a job and schedules dispatching of its items. */
  add(job: OwnedJob): void {
    this.jobs.add(job);
    this.schedule();
  }

  /** Stops dispatching; runs in progress continue. */
  stop(): void {
    this.isStopped = true;
  }

  /** Schedules a dispatch pass for the next event loop turn; repeated calls are coalesced. */
  schedule(): void {
    if (this.isScheduled || this.isStopped) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.dispatch();
    });
  }

  /** Number of runs in progress. */
  get runCount(): number {
    let count = 0;
    for (const job of this.jobs) {
      for (const entry of job.items.values()) if (entry.run !== undefined) count += 1;
    }
    return count;
  }

  /** Items at no worker, by awaited work and reason, joined by a dot. */
  get waitingCounts(): Readonly<Record<string, number>> {
    return this.waitReporter.waitingCounts;
  }

  /** Periodic work: terminates expired items, moves runs, dispatches and reports waiting items. */
  tick(): void {
    this.dropClosedJobs();
    for (const job of this.jobs) this.terminateExpired(job);
    this.migrator.migrateRuns([...this.jobs].filter((job) => this.permission.maySend(job)));
    this.dispatch();
    this.waitReporter.tick(this.jobs);
  }

  private dropClosedJobs(): void {
    for (const job of this.jobs) {
      if (job.isOpen) continue;
      this.jobs.delete(job);
      this.placer.forget(job);
    }
  }

  private dispatch(): void {
    const routes = this.options.routes();
    if (routes === undefined || this.isStopped) return;
    const now = this.options.clock.now();
    this.placer.beginPass(now);
    const jobsByAge = [...this.jobs]
      .filter((job) => this.permission.maySend(job))
      .sort((a, b) => a.spec.submittedAt - b.spec.submittedAt);
    for (const job of jobsByAge) {
      const waiting = job.waiting(now);
      waiting.sort(startedThenLongest);
      for (const entry of waiting) this.startRun(job, entry, routes, now);
    }
    this.scorer.dispatch(jobsByAge, routes);
  }

  private startRun(job: OwnedJob, entry: OwnedItem, routes: RouteMatcher, now: Milliseconds): void {
    const route = routes.match(job.spec.host, entry.item.path);
    const service = route === undefined ? undefined : routes.nextService(route);
    if (route === undefined || service === undefined) {
      entry.wait.note(now, { reason: 'no-route', inputs: {} });
      return;
    }
    const crashes = this.options.quarantine.crashesUnder(entry.fingerprinted);
    if (crashDelay(crashes, now) > 0) {
      entry.wait.note(now, { reason: 'crash-delay', inputs: { crashes: crashes.length } });
      return;
    }
    const allowed = routes.allowedRegions(route, job.spec.tenant);
    const worker = this.placer.place(job, entry, service, allowed);
    if (worker === undefined) return;
    void this.run(job, entry, route, worker, allowed);
  }

  private async run(
    job: OwnedJob,
    entry: OwnedItem,
    route: Route,
    worker: KnownWorker,
    allowedRegions: AllowedRegions,
  ): Promise<void> {
    const { quarantine } = this.options;
    const { item, progress } = entry;
    const run = new ItemRun(this.runContext, worker, progress);
    entry.run = run;
    entry.state = 'running';
    worker.inFlight += 1;
    const resumeAfter = progress.lastEventId;
    const request: EngineRequest = {
      worker: worker.record,
      requestId: item.id,
      method: 'POST',
      path: item.path,
      host: job.spec.host,
      headers: item.headers,
      body: Buffer.from(item.body, 'base64'),
      remaining: undefined,
      allowedRegions,
      ...(job.spec.tenant === undefined ? {} : { tenant: job.spec.tenant }),
      ...(resumeAfter === undefined ? {} : { lastEventId: resumeAfter }),
      ...(entry.wasUnanswered ? { wantsNewConnection: true } : {}),
    };
    // An exception must leave neither a running item without a run nor a slot taken for good.
    const end = await run.perform(request).catch((error: unknown): ItemRunEnd => {
      this.options.log.fault('item-run-failed', error);
      run.cancel();
      return 'interrupted';
    });
    worker.inFlight -= 1;
    entry.run = undefined;
    entry.wasUnanswered = !run.hasBegun && (end === 'cancelled' || end === 'interrupted');
    if (entry.state === 'running') entry.state = 'waiting';
    if (run.wasBroken) void quarantine.noteBroken(worker.record, entry.fingerprinted, 'this-node');
    else if (end === 'completed') quarantine.noteAnswered(entry.fingerprinted);
    const obstacle: Obstacle = { reason: 'retry-delay', inputs: { end } };
    if (run.wasAnswered) entry.wait.restart(this.options.clock.now(), obstacle);
    else entry.wait.resume(this.options.clock.now(), obstacle);
    this.handleRunEnd(job, entry, route, worker, end);
    this.schedule();
  }

  private handleRunEnd(
    job: OwnedJob,
    entry: OwnedItem,
    route: Route,
    worker: KnownWorker,
    end: ItemRunEnd,
  ): void {
    const now = this.options.clock.now();
    this.recordOutcome(worker, end, now);
    this.options.metrics.count('item_runs', { end });
    entry.notBefore = now + retryDelayAfter(end);
    if (end === 'completed') {
      job.completeText(entry);
      const age = ageOf(job.spec, this.options.clock.wallTime());
      this.options.metrics.observe('item_seconds', {}, age);
    }
    if (end === 'attempt-failed') entry.failedAttempts += 1;
    // The configuration may have changed since the run began.
    const { maxAttempts } = this.options.routes()?.match(job.spec.host, entry.item.path) ?? route;
    if (end === 'impossible' || entry.failedAttempts >= maxAttempts) {
      job.finish(entry, entry.progress.toTerminated(entry.item.id));
    }
    if (end === 'cancelled') return;
    const details = describeRun(job, entry, worker, this.options.clock.wallTime());
    if (end === 'completed') this.options.log.decision('item-run-completed', details);
    else this.options.log.decision('item-run-ended', { ...details, end });
    job.listOrVerify();
  }

  private recordOutcome(worker: KnownWorker, end: ItemRunEnd, now: Milliseconds): void {
    if (end === 'completed') worker.noteOutcome('success', now);
    else if (end === 'full') worker.noteOutcome('full', now);
    else if (end === 'gone' || end === 'interrupted') worker.noteOutcome('failure', now);
    // Its record names newer weights than it has, and would attract the item again at once.
    else if (end === 'version-too-old') worker.noteOutcome('failure', now);
  }

  private terminateExpired(job: OwnedJob): void {
    const route = this.options.routes()?.match(job.spec.host, job.spec.path);
    if (route === undefined || !job.isOpen) return;
    const age = ageOf(job.spec, this.options.clock.wallTime());
    if (age < route.maxQueue + EXPIRY_MARGIN) return;
    for (const entry of job.items.values()) {
      cancelWork(entry);
      job.finish(entry, entry.progress.toTerminated(entry.item.id));
    }
    job.listOrVerify();
  }
}

/** Orders items that already have events first, then by descending expected length. */
function startedThenLongest(left: OwnedItem, right: OwnedItem): number {
  const startedFirst = Number(right.progress.eventCount > 0) - Number(left.progress.eventCount > 0);
  return startedFirst === 0 ? right.item.expectedLength - left.item.expectedLength : startedFirst;
}

function retryDelayAfter(end: ItemRunEnd): Milliseconds {
  if (end === 'full') return REJECTION_RETRY_DELAY;
  if (end === 'attempt-failed') return FAILED_ATTEMPT_RETRY_DELAY;
  return end === 'cancelled' ? 0 : RETRY_DELAY;
}
