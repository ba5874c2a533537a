/** What trainers ask of jobs, at any node: submit, read results, ask for a body, end. */

import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { PeerAnswers } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import type { RouteMatcher } from '../serving/route-matcher.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { ItemDispatcher } from './item-dispatcher.js';
import type { JobPeers } from './job-peers.js';
import type { JobListing, JobReader } from './job-reader.js';
import {
  ageOf,
  isFinished,
  type JobOwner,
  type JobResult,
  type JobSpecification,
  type KeptProgress,
} from './job-records.js';
import type { HeadChange, HeadFields, JobStore, StillWanted, VersionedHead } from './job-store.js';
import type { DigestedWork } from './kept-items.js';
import { isFor, KeptItems, type KeptWork } from './kept-items.js';
import { OwnedJob } from './owned-job.js';

/** Options of {@link JobService}. */
export interface JobServiceOptions {
  readonly store: JobStore;
  readonly reader: JobReader;
  readonly peers: JobPeers;
  readonly dispatcher: ItemDispatcher;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly self: JobOwner;
  readonly routes: () => RouteMatcher | undefined;
  /** Time for which a job stays readable after its submission. */
  readonly retention: Milliseconds;
}

/** A page of results as a trainer reads it. */
export interface ResultSlice {
  readonly total: number;
  readonly results: readonly JobResult[];
  readonly nextPosition: number;
}

/** Bytes of result text in one answer, beyond the first result. */
const MAXIMUM_SLICE_BYTES = 900_000;

/** An owner whose head was confirmed this recently may say that nothing more is listed. */
const FRESH_CONFIRMATION: Milliseconds = 700;

/** When to come back after the store did not answer. */
const STORE_RETRY_AFTER: Milliseconds = 300;

/** A store that has not taken a job after this time no longer holds up its items. */
const EARLY_START_DELAY: Milliseconds = 100;

/** Jobs are kept this much longer than asked, as clocks of machines may differ. */
const RETENTION_MARGIN: Milliseconds = 30_000;

/** Jobs that are finished and still kept in memory by the node that ran them. */
const KEPT_FINISHED_JOBS = 24;

/** The jobs of a fleet, as one node serves them. */
export class JobService {
  private readonly owned = new Map<string, OwnedJob>();
  private readonly kept: KeptItems;
  /** Whether this node stops: it takes jobs in, but runs none any more. */
  private isReleasing = false;
  /** Submissions that the store has not settled yet, by job. */
  private readonly submissions = new Map<string, Promise<Failure | undefined>>();

  constructor(private readonly options: JobServiceOptions) {
    this.kept = new KeptItems(options.clock);
  }

  /** Jobs that this node runs or ran. */
  ownedJobs(): readonly OwnedJob[] {
    return [...this.owned.values()];
  }

  /** Takes a job in; `undefined` means that all of it is kept from now on. */
  async submit(spec: JobSpecification, wanted: StillWanted): Promise<Failure | undefined> {
    if (this.owned.has(spec.id)) return undefined;
    const underWay = this.submissions.get(spec.id);
    if (underWay !== undefined) return underWay;
    const submission = this.store(spec, wanted);
    this.submissions.set(spec.id, submission);
    return submission.finally(() => this.submissions.delete(spec.id));
  }

  private async store(spec: JobSpecification, wanted: StillWanted): Promise<Failure | undefined> {
    const { store, clock } = this.options;
    const startedAt = clock.now();
    const kept = this.keptElsewhere(spec);
    const owner = this.isReleasing ? null : this.options.self;
    const creation = store.create(spec, firstHead(spec, owner), wanted);
    const early = owner === null ? undefined : await this.startEarly(spec, creation, kept);
    const change = await creation;
    this.noteSubmitted(spec, change, clock.now() - startedAt);
    if (change.kind !== 'changed') early?.abandon();
    else if (owner === null) await this.options.peers.handOver(spec.id);
    else await this.ownCreated(spec, change.current, early, kept);
    if (change.kind !== 'unavailable') return undefined;
    // What has begun to run must not be answered as if it had not.
    if (change.mayBeDone || early !== undefined) {
      return failure('outcome_unknown', 'the job may have been stored');
    }
    return failure('ledger_unavailable', 'the store takes no jobs now', {
      retryAfter: STORE_RETRY_AFTER,
    });
  }

  /** Runs a job's items while a slow or silent store has not taken it yet; nothing is listed. */
  private async startEarly(
    spec: JobSpecification,
    creation: Promise<HeadChange>,
    kept: Promise<ReadonlyMap<string, DigestedWork>>,
  ): Promise<OwnedJob | undefined> {
    const isSettled = await Promise.race([
      creation.then(() => true),
      this.options.clock.sleep(EARLY_START_DELAY).then(() => false),
    ]);
    if (isSettled) return undefined;
    this.options.log.state('job-started-early', { job: spec.id, step: spec.step });
    const job = this.makeJob(spec, undefined, [], this.keptWork(spec, {}, await kept));
    this.options.dispatcher.add(job);
    return job;
  }

  private async ownCreated(
    spec: JobSpecification,
    head: VersionedHead,
    early: OwnedJob | undefined,
    kept: Promise<ReadonlyMap<string, DigestedWork>>,
  ): Promise<void> {
    if (early === undefined) this.own(spec, head, [], this.keptWork(spec, {}, await kept));
    else {
      early.attach(head);
      this.owned.set(spec.id, early);
    }
    this.options.peers.needWeights(spec.model, spec.minVersion);
  }

  private noteSubmitted(spec: JobSpecification, change: HeadChange, took: Milliseconds): void {
    const { log, metrics } = this.options;
    const { id: job, step, items } = spec;
    const details = { job, step, items: items.length, tookMs: Math.round(took) };
    log.decision('job-submitted', { ...details, outcome: change.kind });
    metrics.count('jobs_submitted', { outcome: change.kind });
    metrics.observe('submit_seconds', {}, took);
  }

  /** Results from a position on; waits for the first where the job is run here. */
  async read(job: string, after: number, wait: Milliseconds): Promise<ResultSlice | Failure> {
    const own = this.answeringJob(job);
    if (own !== undefined) return this.readOwned(own, after, wait);
    const read = await this.options.reader.listing(job, after, wait);
    if (read.kind === 'absent') return failure('not_found', 'there is no such job');
    if (read.kind === 'unavailable') return storeSilent();
    return slice(read.value, after);
  }

  /** The body of one item. */
  async body(job: string, item: string): Promise<Buffer | Failure> {
    const own = this.owned.get(job);
    const read =
      own === undefined
        ? await this.options.reader.specification(job)
        : ({ kind: 'found', value: own.spec } as const);
    if (read.kind === 'absent') return failure('not_found', 'there is no such job');
    if (read.kind === 'unavailable') return storeSilent();
    const found = read.value.items.find((entry) => entry.id === item);
    if (found === undefined) return failure('not_found', 'the job has no such item');
    return Buffer.from(found.body, 'base64');
  }

  /** Ends a job; `undefined` means that it has ended. */
  async end(job: string, wanted: StillWanted): Promise<Failure | undefined> {
    const own = this.owned.get(job);
    if (own?.isOpen === true && (await own.end(wanted))) return undefined;
    for (;;) {
      const read = await this.options.store.head(job);
      if (read.kind === 'absent') return failure('not_found', 'there is no such job');
      if (read.kind === 'found') {
        const { ended: hasEnded, owner } = read.value.head;
        if (hasEnded) return undefined;
        if (owner !== null && (await this.options.peers.endAtOwner(owner, job))) return undefined;
        const ended = { ended: true };
        const change = await this.options.store.replace(job, read.value, ended, wanted);
        if (change.kind === 'changed') return undefined;
      }
      if (!wanted()) return storeSilent();
      await this.options.clock.sleep(STORE_RETRY_AFTER);
    }
  }

  /** Takes over a job whose owner is gone; tells whether it is run here now. */
  async adopt(job: string, found: VersionedHead): Promise<boolean> {
    const { store, self, log, metrics, clock } = this.options;
    const wanted = (): boolean => false;
    const change = await store.replace(job, found, { owner: self }, wanted);
    if (change.kind !== 'changed') return false;
    const [spec, results, progress] = await Promise.all([
      untilAvailable(clock, () => store.specification(job)),
      untilAvailable(clock, () => store.results(job, 0)),
      untilAvailable(clock, () => store.progress(job)),
    ]);
    if (spec === undefined) return false;
    const listed = (results ?? []).flat();
    this.own(spec, change.current, listed, this.keptWork(spec, progress ?? {}));
    this.options.peers.needWeights(spec.model, spec.minVersion);
    const previous = found.head.owner?.node ?? 'none';
    log.state('job-adopted', { job, previous, listed: listed.length });
    metrics.count('jobs_adopted', { cause: found.head.owner === null ? 'released' : 'lost' });
    return true;
  }

  /** Regular work of the jobs that this node runs. */
  tick(): void {
    for (const job of this.owned.values()) job.advance();
    this.forgetOld();
  }

  /** Removes jobs whose results need not be kept any longer. */
  async removeExpired(): Promise<void> {
    const { store, clock, log, retention } = this.options;
    const read = await store.heads();
    if (read.kind !== 'found') return;
    for (const [job, found] of read.value) {
      const age = ageOf(found.head, clock.wallTime());
      if (!isFinished(found.head) || age < retention + RETENTION_MARGIN) continue;
      await store.remove(job, found);
      log.state('job-removed', { job, ageMs: Math.round(age) });
    }
  }

  /** Gives all open jobs up for other nodes. */
  async release(wanted: StillWanted): Promise<void> {
    this.isReleasing = true;
    const open = this.ownedJobs().filter((job) => job.isOpen);
    await Promise.all(
      open.map(async (job) => {
        await job.release(wanted);
        if (job.ending === 'released') await this.options.peers.handOver(job.spec.id);
      }),
    );
  }

  private own(
    spec: JobSpecification,
    head: VersionedHead,
    listed: readonly JobResult[],
    kept: ReadonlyMap<string, KeptWork>,
  ): void {
    const job = this.makeJob(spec, head, listed, kept);
    this.owned.delete(spec.id);
    this.owned.set(spec.id, job);
    if (!isFinished(head.head)) this.options.dispatcher.add(job);
  }

  private makeJob(
    spec: JobSpecification,
    head: VersionedHead | undefined,
    listed: readonly JobResult[],
    kept: ReadonlyMap<string, KeptWork>,
  ): OwnedJob {
    const { store, clock, self } = this.options;
    const route = this.options.routes()?.match(spec.host, spec.path);
    const rule = { minVersion: spec.minVersion, singleVersion: route?.singleVersion ?? false };
    const job = new OwnedJob(spec, head, listed, rule, self, store, clock, kept);
    const watching = job.changed.subscribe(() => {
      if (job.isOpen) return;
      watching.unsubscribe();
      this.noteClosed(job);
    });
    return job;
  }

  private noteClosed(job: OwnedJob): void {
    if (job.ending === 'ended') this.kept.keep(job);
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

  /** What this node kept of items, for another node. */
  keptWorkOf(items: readonly string[]): Map<string, DigestedWork> {
    const work = new Map<string, DigestedWork>();
    for (const id of items) {
      const kept = this.kept.findById(id);
      if (kept !== undefined) work.set(id, kept);
    }
    return work;
  }

  /** Results of a job that this node runs, for another node. */
  async ownListing(
    job: string,
    after: number,
    wait: Milliseconds,
  ): Promise<PeerAnswers['job-results']> {
    const own = this.answeringJob(job);
    if (own === undefined) return { isOwner: false };
    await this.awaitFresh(own, after, wait);
    if (own.ending === 'superseded') return { isOwner: false };
    const total = own.spec.items.length;
    const pages = own.head?.head.pages ?? 0;
    return { isOwner: true, total, pages, results: own.results.slice(after) };
  }

  /** Ends a job that this node runs; tells whether it has ended. */
  async endOwn(job: string): Promise<boolean> {
    const own = this.owned.get(job);
    if (own === undefined) return false;
    return own.isOpen ? own.end(() => false) : own.ending === 'ended';
  }

  /** Takes a job that its owner has just released. */
  async takeReleased(job: string): Promise<boolean> {
    const read = await this.options.store.head(job);
    if (read.kind !== 'found' || isFinished(read.value.head)) return false;
    return read.value.head.owner === null && this.adopt(job, read.value);
  }

  /** A job that this node may answer for. */
  private answeringJob(job: string): OwnedJob | undefined {
    const own = this.owned.get(job);
    return own?.ending === 'superseded' || own?.ending === 'released' ? undefined : own;
  }

  /** What nodes of the zone kept of the items of a later step. */
  private async keptElsewhere(spec: JobSpecification): Promise<ReadonlyMap<string, DigestedWork>> {
    if (spec.step === 0) return new Map();
    return this.options.peers.keptWork(spec.items.map((item) => item.id));
  }

  /** What earlier owners and earlier jobs made of the items, here and elsewhere. */
  private keptWork(
    spec: JobSpecification,
    progress: KeptProgress,
    elsewhere: ReadonlyMap<string, DigestedWork> = new Map(),
  ): Map<string, KeptWork> {
    const kept = new Map<string, KeptWork>();
    for (const item of spec.items) {
      const own = progress[item.id];
      const other = elsewhere.get(item.id);
      const work: KeptWork | undefined =
        own === undefined ? this.kept.find(item) : { kind: 'unfinished', progress: own };
      if (work !== undefined) kept.set(item.id, work);
      else if (other !== undefined && isFor(other, item)) kept.set(item.id, other.work);
    }
    return kept;
  }

  private async readOwned(
    job: OwnedJob,
    after: number,
    wait: Milliseconds,
  ): Promise<ResultSlice | Failure> {
    await this.awaitFresh(job, after, wait);
    if (job.ending === 'superseded') return this.read(job.spec.id, after, 0);
    return slice({ total: job.spec.items.length, results: job.results }, after);
  }

  /** Waits for a result behind a position, or makes sure that there is none. */
  private async awaitFresh(job: OwnedJob, after: number, wait: Milliseconds): Promise<void> {
    if (after >= job.results.length && job.isOpen && wait > 0) await firstChange(job, wait);
    const isShort = after >= job.results.length && job.isOpen;
    if (isShort && job.confirmationAge() > FRESH_CONFIRMATION) await job.verifyNow();
  }

  private forgetOld(): void {
    const closed = this.ownedJobs().filter((job) => !job.isOpen);
    for (const job of closed.slice(0, Math.max(0, closed.length - KEPT_FINISHED_JOBS))) {
      this.owned.delete(job.spec.id);
    }
  }
}

/** The head of a job that its owner is to run; without one it is offered to another node. */
function firstHead(spec: JobSpecification, owner: JobOwner | null): HeadFields {
  const { submittedAt, items } = spec;
  return { owner, total: items.length, listed: 0, pages: 0, ended: false, submittedAt };
}

function storeSilent(): Failure {
  return failure('ledger_unavailable', 'the store does not answer', {
    retryAfter: STORE_RETRY_AFTER,
  });
}

/** Waits until a job lists something or closes, or until the time is over. */
function firstChange(job: OwnedJob, wait: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      subscription.unsubscribe();
      resolve();
    };
    const timer = setTimeout(finish, wait);
    const subscription = job.changed.subscribe(finish);
  });
}

/** The results from a position on, as many as fit into one answer. */
function slice(listing: JobListing, after: number): ResultSlice {
  const results: JobResult[] = [];
  let bytes = 0;
  for (const result of listing.results.slice(after)) {
    bytes += Buffer.byteLength(result.text);
    if (results.length > 0 && bytes > MAXIMUM_SLICE_BYTES) break;
    results.push(result);
  }
  return { total: listing.total, results, nextPosition: after + results.length };
}

/** Repeats a read until the store answers; `undefined` where there is nothing. */
async function untilAvailable<Value>(
  clock: Clock,
  read: () => Promise<
    { kind: 'found'; value: Value } | { kind: 'absent' } | { kind: 'unavailable' }
  >,
): Promise<Value | undefined> {
  for (;;) {
    const outcome = await read();
    if (outcome.kind === 'found') return outcome.value;
    if (outcome.kind === 'absent') return undefined;
    await clock.sleep(STORE_RETRY_AFTER);
  }
}
