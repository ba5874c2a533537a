/** Tracks the jobs that this node owns or owned, and caches work of cancelled ones. */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import {
  type JobOrigin,
  type JobResidency,
  UNRESTRICTED_RESIDENCY,
} from '../placement/job-residency.js';
import type { Clock } from '../serving/clock.js';
import type { RouteMatcher } from '../serving/route-matcher.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { ItemDispatcher } from './item-dispatcher.js';
import {
  type DigestedWork,
  eventCountOf,
  type ItemWork,
  ItemWorkCache,
  reusableWork,
  withDigests,
} from './item-work-cache.js';
import {
  ageOf,
  isFinished,
  type JobOwner,
  type JobResult,
  type JobSpecification,
  type StoredProgress,
} from './job-records.js';
import type { JobStore, VersionedHead } from './job-store.js';
import type { JournalState } from './listing-state.js';
import { OwnedJob } from './owned-job.js';

export interface OwnedJobsOptions {
  readonly store: JobStore;
  readonly dispatcher: ItemDispatcher;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly self: JobOwner;
  /** The zone of this node. */
  readonly zone: ZoneName;
  readonly routes: () => RouteMatcher | undefined;
  /** The zones' journals, if zones accept jobs without the store. */
  readonly journals?: ZoneJournals | undefined;
  /** Which nodes may store a job. @default all */
  readonly residency?: JobResidency | undefined;
}

/** Number of closed jobs that are retained in memory. */
const MAX_RETAINED_JOBS = 24;

export class OwnedJobs {
  private readonly jobs = new Map<string, OwnedJob>();
  /** Open jobs that were started early and are not accepted yet. */
  private readonly unacceptedJobs = new Set<OwnedJob>();
  private readonly workCache: ItemWorkCache;
  private readonly residency: JobResidency;

  constructor(private readonly options: OwnedJobsOptions) {
    this.residency = options.residency ?? UNRESTRICTED_RESIDENCY;
    this.workCache = new ItemWorkCache(options.clock);
  }

  /** All owned and retained jobs. */
  all(): readonly OwnedJob[] {
    return [...this.jobs.values()];
  }

  /** The job, if this node owns it or retains it after closing. */
  get(job: string): OwnedJob | undefined {
    return this.jobs.get(job);
  }

  /** The job, if this node can serve its results from memory. */
  answerable(job: string): OwnedJob | undefined {
    const ownedJob = this.jobs.get(job);
    return ownedJob?.canAnswer === true ? ownedJob : undefined;
  }

  /** Adds a job and runs its items. */
  add(
    spec: JobSpecification,
    head: VersionedHead,
    listed: readonly JobResult[],
    earlierWork: ReadonlyMap<string, ItemWork>,
    journaled: JournalState = {},
  ): void {
    // Only one instance of a job may list results.
    this.jobs.get(spec.id)?.abandon();
    const job = this.makeJob(spec, head, listed, earlierWork, journaled);
    this.jobs.delete(spec.id);
    this.jobs.set(spec.id, job);
    if (!isFinished(head.head)) this.options.dispatcher.add(job);
  }

  /**
   * Runs the items of a job that is not stored yet; no results are listed. An unconfirmed job is
   * verified first, because its submission may repeat that of a job that has ended since.
   */
  startEarly(
    spec: JobSpecification,
    earlierWork: ReadonlyMap<string, ItemWork>,
    journaled: JournalState = {},
  ): OwnedJob {
    const { dispatcher } = this.options;
    const job = this.makeJob(spec, undefined, [], earlierWork, journaled);
    this.unacceptedJobs.add(job);
    dispatcher.add(job);
    if (job.isUnconfirmed) void job.verifyNow().then(() => dispatcher.schedule());
    return job;
  }

  /**
   * Adds a job that was started early, after the store has accepted it; its creation was sent at
   * `sentAt`, by `suspendAwareTime`.
   */
  attachEarly(job: OwnedJob, head: VersionedHead, sentAt: Milliseconds): void {
    this.unacceptedJobs.delete(job);
    job.attach(head, sentAt);
    this.jobs.set(job.spec.id, job);
  }

  /** Adds a job that was started early, after the zone's journal has accepted it. */
  attachJournaled(job: OwnedJob): void {
    this.unacceptedJobs.delete(job);
    job.attachByJournal();
    this.jobs.set(job.spec.id, job);
  }

  tick(): void {
    for (const job of [...this.jobs.values(), ...this.unacceptedJobs]) job.listOrVerify();
    this.dropOld();
  }

  /** Drops closed jobs that the current configuration does not allow on this node. */
  dropMisplaced(): void {
    if (!this.residency.limitsRegions) return;
    for (const job of this.all()) {
      const isAllowedHere = this.residency.mayHoldHere(this.residency.regionsForSpec(job.spec));
      if (!job.isActive && !isAllowedHere) this.jobs.delete(job.spec.id);
    }
  }

  /** Cached work on items, without work that `zone` may not store. */
  cachedWorkOf(items: readonly string[], zone: ZoneName | undefined): Map<string, DigestedWork> {
    const mayReceive = (origin: JobOrigin): boolean =>
      this.residency.mayHoldIn(zone, this.residency.regionsForOrigin(origin));
    const work = new Map<string, DigestedWork>();
    for (const id of items) {
      const cached = this.workCache.findById(id, mayReceive);
      if (cached !== undefined) work.set(id, cached);
    }
    return work;
  }

  /** The furthest earlier work on each item: stored, cached here or received from other nodes. */
  earlierWork(
    spec: JobSpecification,
    progress: StoredProgress,
    elsewhere: ReadonlyMap<string, DigestedWork> = new Map(),
  ): Map<string, ItemWork> {
    const earlier = new Map<string, ItemWork>();
    for (const item of spec.items) {
      const stored = progress[item.id];
      const received = elsewhere.get(item.id);
      const localWork: ItemWork | undefined =
        stored === undefined ? this.workCache.find(item) : { kind: 'unfinished', progress: stored };
      const remoteWork = received === undefined ? undefined : reusableWork(received, item);
      const work = eventCountOf(remoteWork) > eventCountOf(localWork) ? remoteWork : localWork;
      if (work !== undefined) earlier.set(item.id, work);
    }
    return earlier;
  }

  /** Closes a job that another node has taken over; returns the unlisted work on its items. */
  releaseTakenOver(id: string, zone?: ZoneName): Map<string, DigestedWork> {
    const job = this.jobs.get(id);
    const work = new Map<string, DigestedWork>();
    if (job === undefined) return work;
    if (!this.residency.mayHoldIn(zone, this.residency.regionsForSpec(job.spec))) {
      job.abandon();
      return work;
    }
    const progress = job.unfinishedProgress();
    const finished = new Map(job.unlistedResults().map((result) => [result.id, result]));
    for (const { item } of job.items.values()) {
      const result = finished.get(item.id);
      const unfinished = progress[item.id];
      if (result?.state === 'completed') {
        work.set(item.id, withDigests({ kind: 'finished', result }, item));
      } else if (unfinished !== undefined) {
        work.set(item.id, withDigests({ kind: 'unfinished', progress: unfinished }, item));
      }
    }
    job.abandon();
    return work;
  }

  private makeJob(
    spec: JobSpecification,
    head: VersionedHead | undefined,
    listed: readonly JobResult[],
    earlierWork: ReadonlyMap<string, ItemWork>,
    journaled: JournalState,
  ): OwnedJob {
    const { store, clock, self, metrics, log, dispatcher } = this.options;
    const route = this.options.routes()?.match(spec.host, spec.path);
    const rule = { minVersion: spec.minVersion, singleVersion: route?.singleVersion ?? false };
    const job = new OwnedJob(spec, head, listed, rule, self, store, clock, earlierWork, {
      ...journaled,
      ...{ metrics, log, onConfirmed: () => dispatcher.schedule() },
    });
    const subscription = job.changed.subscribe(() => {
      if (job.isOpen) return;
      subscription.unsubscribe();
      this.noteClosed(job);
    });
    return job;
  }

  private noteClosed(job: OwnedJob): void {
    this.unacceptedJobs.delete(job);
    const mayCache = this.residency.mayHoldHere(this.residency.regionsForSpec(job.spec));
    if (job.isCancelled && mayCache) this.workCache.add(job, this.residency.originOf(job.spec));
    const { clock, log, metrics } = this.options;
    metrics.count('jobs_closed', { reason: job.closeReason ?? 'open' });
    log.state('job-closed', {
      job: job.spec.id,
      step: job.spec.step,
      reason: job.closeReason ?? 'open',
      items: job.spec.items.length,
      listed: job.results.length,
      ageMs: Math.round(ageOf(job.spec, clock.wallTime())),
    });
  }

  private dropOld(): void {
    const closed = this.all().filter((job) => !job.isActive);
    for (const job of closed.slice(0, Math.max(0, closed.length - MAX_RETAINED_JOBS))) {
      this.jobs.delete(job.spec.id);
    }
  }
}
