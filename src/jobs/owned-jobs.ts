/** Tracks the jobs that this node owns or owned, and caches work of cancelled ones. */
import type { ZoneName } from '../core/identity.js';
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
  digested,
  extentOf,
  type ItemWork,
  ItemWorkCache,
  workFor,
} from './item-work-cache.js';
import type { JournaledWork } from './job-listing.js';
import {
  ageOf,
  isFinished,
  type JobOwner,
  type JobResult,
  type JobSpecification,
  type StoredProgress,
} from './job-records.js';
import type { JobStore, VersionedHead } from './job-store.js';
import { OwnedJob } from './owned-job.js';

/** Options of {@link OwnedJobs}. */
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
const KEPT_FINISHED_JOBS = 24;

/** The owned jobs, by id. */
export class OwnedJobs {
  private readonly jobs = new Map<string, OwnedJob>();
  private readonly kept: ItemWorkCache;
  private readonly residency: JobResidency;

  constructor(private readonly options: OwnedJobsOptions) {
    this.residency = options.residency ?? UNRESTRICTED_RESIDENCY;
    this.kept = new ItemWorkCache(options.clock);
  }

  /** All owned and retained jobs. */
  all(): readonly OwnedJob[] {
    return [...this.jobs.values()];
  }

  /** A job that this node owns or owned. */
  get(job: string): OwnedJob | undefined {
    return this.jobs.get(job);
  }

  /** A job whose results this node can serve from memory. */
  answering(job: string): OwnedJob | undefined {
    const own = this.jobs.get(job);
    return own?.mayAnswer === true ? own : undefined;
  }

  /** Adds a job and runs its items. */
  own(
    spec: JobSpecification,
    head: VersionedHead,
    listed: readonly JobResult[],
    kept: ReadonlyMap<string, ItemWork>,
    journaled: JournaledWork = {},
  ): void {
    const job = this.makeJob(spec, head, listed, kept, journaled);
    this.jobs.delete(spec.id);
    this.jobs.set(spec.id, job);
    if (!isFinished(head.head)) this.options.dispatcher.add(job);
  }

  /** Runs the items of a job that is not stored yet; no results are listed. */
  startEarly(
    spec: JobSpecification,
    kept: ReadonlyMap<string, ItemWork>,
    journaled: JournaledWork = {},
  ): OwnedJob {
    const job = this.makeJob(spec, undefined, [], kept, journaled);
    this.options.dispatcher.add(job);
    return job;
  }

  /** Adds a job that was started early, after the store has accepted it. */
  keepEarly(job: OwnedJob, head: VersionedHead): void {
    job.attach(head);
    this.jobs.set(job.spec.id, job);
  }

  /** Adds a job that was started early, after the zone's journal has accepted it. */
  keepJournaled(job: OwnedJob): void {
    job.attachByJournal();
    this.jobs.set(job.spec.id, job);
  }

  /** Periodic work on owned jobs. */
  tick(): void {
    for (const job of this.jobs.values()) job.advance();
    this.forgetOld();
  }

  /** Drops closed jobs that the current configuration does not allow on this node. */
  forgetMisplaced(): void {
    if (!this.residency.limitsRegions) return;
    for (const job of this.all()) {
      const mayStay = this.residency.mayHoldHere(this.residency.regionsForSpec(job.spec));
      if (!job.isActive && !mayStay) this.jobs.delete(job.spec.id);
    }
  }

  /** Cached work on items, without work that `zone` may not store. */
  keptWorkOf(items: readonly string[], zone: ZoneName | undefined): Map<string, DigestedWork> {
    const mayTell = (origin: JobOrigin): boolean =>
      this.residency.mayHoldIn(zone, this.residency.regionsForOrigin(origin));
    const work = new Map<string, DigestedWork>();
    for (const id of items) {
      const kept = this.kept.findById(id, mayTell);
      if (kept !== undefined) work.set(id, kept);
    }
    return work;
  }

  /** The most advanced earlier work on each item: stored, cached here or received from other nodes. */
  keptWork(
    spec: JobSpecification,
    progress: StoredProgress,
    elsewhere: ReadonlyMap<string, DigestedWork> = new Map(),
  ): Map<string, ItemWork> {
    const kept = new Map<string, ItemWork>();
    for (const item of spec.items) {
      const own = progress[item.id];
      const other = elsewhere.get(item.id);
      const here: ItemWork | undefined =
        own === undefined ? this.kept.find(item) : { kind: 'unfinished', progress: own };
      const there = other === undefined ? undefined : workFor(other, item);
      const work = extentOf(there) > extentOf(here) ? there : here;
      if (work !== undefined) kept.set(item.id, work);
    }
    return kept;
  }

  /** Closes a job that another node has taken over; returns the unlisted work on its items. */
  surrender(id: string, zone?: ZoneName): Map<string, DigestedWork> {
    const job = this.jobs.get(id);
    const work = new Map<string, DigestedWork>();
    if (job === undefined) return work;
    if (!this.residency.mayHoldIn(zone, this.residency.regionsForSpec(job.spec))) {
      job.abandon();
      return work;
    }
    const progress = job.keptProgress();
    const finished = new Map(job.unlistedResults().map((result) => [result.id, result]));
    for (const { item } of job.items.values()) {
      const result = finished.get(item.id);
      const unfinished = progress[item.id];
      if (result?.state === 'completed') {
        work.set(item.id, digested({ kind: 'finished', result }, item));
      } else if (unfinished !== undefined) {
        work.set(item.id, digested({ kind: 'unfinished', progress: unfinished }, item));
      }
    }
    job.abandon();
    return work;
  }

  private makeJob(
    spec: JobSpecification,
    head: VersionedHead | undefined,
    listed: readonly JobResult[],
    kept: ReadonlyMap<string, ItemWork>,
    journaled: JournaledWork,
  ): OwnedJob {
    const { store, clock, self, metrics } = this.options;
    const route = this.options.routes()?.match(spec.host, spec.path);
    const rule = { minVersion: spec.minVersion, singleVersion: route?.singleVersion ?? false };
    const job = new OwnedJob(spec, head, listed, rule, self, store, clock, kept, {
      ...journaled,
      metrics,
    });
    const watching = job.changed.subscribe(() => {
      if (job.isOpen) return;
      watching.unsubscribe();
      this.noteClosed(job);
    });
    return job;
  }

  private noteClosed(job: OwnedJob): void {
    const mayKeep = this.residency.mayHoldHere(this.residency.regionsForSpec(job.spec));
    if (job.hasEnded && mayKeep) this.kept.keep(job, this.residency.originOf(job.spec));
    const { clock, log, metrics } = this.options;
    metrics.count('jobs_closed', { reason: job.ending ?? 'open' });
    log.state('job-closed', {
      job: job.spec.id,
      step: job.spec.step,
      reason: job.ending ?? 'open',
      items: job.spec.items.length,
      listed: job.results.length,
      ageMs: Math.round(ageOf(job.spec, clock.wallTime())),
    });
  }

  private forgetOld(): void {
    const closed = this.all().filter((job) => !job.isActive);
    for (const job of closed.slice(0, Math.max(0, closed.length - KEPT_FINISHED_JOBS))) {
      this.jobs.delete(job.spec.id);
    }
  }
}
