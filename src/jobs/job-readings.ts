/** Reads results and item bodies of jobs: from this node's own jobs, their owners or the store. */
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { PeerAnswers } from '../peers/peer-messages.js';
import type { JobResidency } from '../placement/job-residency.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { type CallerIdentity, mayAccess } from '../tenants/tenant.js';
import { denyAccess, failureOf, storeUnavailable } from './job-answers.js';
import type { JobPeers } from './job-peers.js';
import type { JobReader } from './job-reader.js';
import type { JobOwner } from './job-records.js';
import { type ResultSlice, sliceOf } from './job-results.js';
import type { JobStore } from './job-store.js';
import type { OwnedJob } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';
import type { ReadLog } from './read-log.js';

export interface JobReadingsOptions {
  readonly store: JobStore;
  readonly reader: JobReader;
  readonly owned: OwnedJobs;
  readonly peers: JobPeers;
  readonly residency: JobResidency;
  readonly self: JobOwner;
  readonly clock: Pick<Clock, 'sleep'>;
  readonly log: DecisionLog;
  readonly reads: ReadLog;
}

/**
 * An owner reports that no more results are listed only if its ownership was confirmed within this
 * time.
 */
const MAX_END_OF_LIST_CONFIRMATION_AGE: Milliseconds = 700;

/** Timeout for confirming the ownership while a reader waits. */
const VERIFY_TIMEOUT: Milliseconds = 400;

export class JobReadings {
  constructor(private readonly options: JobReadingsOptions) {}

  /** Results from position `after` on; an owner waits up to `wait` for the first one. */
  async read(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    const forwarded = await this.options.peers.readElsewhere(job, after, wait, caller);
    if (forwarded === undefined) return this.readHere(job, after, wait, caller);
    if ('results' in forwarded)
      this.options.reads.noteRead(job, after, forwarded, { from: 'relay' });
    return forwarded;
  }

  /**
   * Reads for a node that does not reach the store. The results pass through this node, so it must
   * be allowed to store the job.
   */
  async readForPeer(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    const { residency } = this.options;
    if (residency.limitsRegions && this.options.owned.answerable(job) === undefined) {
      const read = await this.options.store.head(job);
      // Without a head the allowed regions are unknown, so no other node is queried.
      if (read.kind !== 'found') {
        const missing = await this.options.reader.explainMissing(job, read.kind);
        this.options.reads.noteUnread(job, after, missing);
        return failureOf(missing);
      }
      if (!residency.mayHoldHere(residency.regionsForOrigin(read.value.head))) return REGION_DENIED;
    }
    return this.readHere(job, after, wait, caller);
  }

  /** Reads from this node's own jobs, the owner or the store. */
  async readHere(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    const ownedJob = this.options.owned.answerable(job);
    if (ownedJob !== undefined) {
      if (!mayAccess(caller, ownedJob.spec.tenant))
        return denyAccess(this.options.log, job, ownedJob.spec.tenant, caller);
      return this.readOwned(ownedJob, after, wait, caller);
    }
    return this.readUnowned(job, after, wait, caller);
  }

  /** Reads from the owner or the store. */
  private async readUnowned(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    const read = await this.options.reader.listing(job, after, wait);
    if (read.kind !== 'found') {
      this.options.reads.noteUnread(job, after, read);
      return failureOf(read);
    }
    const { tenant, source } = read.value;
    if (!mayAccess(caller, tenant)) return denyAccess(this.options.log, job, tenant, caller);
    const slice = sliceOf(read.value, after);
    this.options.reads.noteRead(job, after, slice, source);
    return slice;
  }

  /** Reads the request body of one item, at the owner or in the store. */
  async itemBody(job: string, item: string, caller: CallerIdentity): Promise<Buffer | Failure> {
    const ownedJob = this.options.owned.get(job);
    if (ownedJob === undefined) {
      const reported = await this.options.peers.bodyAtOwner(job, item);
      if (reported !== undefined) {
        if (!mayAccess(caller, reported.tenant))
          return denyAccess(this.options.log, job, reported.tenant, caller);
        return bodyOrAbsent(reported.body);
      }
    }
    const specification =
      ownedJob === undefined
        ? await this.options.reader.specification(job)
        : ({ kind: 'found', value: ownedJob.spec } as const);
    if (specification.kind !== 'found') {
      this.options.reads.noteUnanswered('item-body', job, specification);
      return failureOf(specification);
    }
    const { tenant, items } = specification.value;
    if (!mayAccess(caller, tenant)) return denyAccess(this.options.log, job, tenant, caller);
    return bodyOrAbsent(items.find((entry) => entry.id === item)?.body);
  }

  /** Reads the request body of an item for another node, if this node owns or owned the job. */
  ownItemBody(job: string, item: string): PeerAnswers['item-body'] {
    const ownedJob = this.options.owned.get(job);
    if (ownedJob === undefined) return { isOwner: false };
    const body = ownedJob.spec.items.find((entry) => entry.id === item)?.body;
    return { isOwner: true, tenant: ownedJob.spec.tenant, body };
  }

  /** Reports results to another node, if this node can answer for the job. */
  async ownListing(
    job: string,
    after: number,
    wait: Milliseconds,
  ): Promise<PeerAnswers['job-results']> {
    const ownedJob = this.options.owned.answerable(job);
    if (ownedJob === undefined) return { isOwner: false };
    await this.awaitResults(ownedJob, after, wait);
    if (!ownedJob.canAnswer || mayLackResults(ownedJob, after)) return { isOwner: false };
    if (mayBeListedElsewhere(ownedJob, after)) return { isOwner: false };
    const { items, tenant } = ownedJob.spec;
    const total = items.length;
    const { pages, results } = ownedJob;
    const allowedRegions = this.options.residency.regionsForSpec(ownedJob.spec);
    const restriction = allowedRegions === undefined ? {} : { allowedRegions };
    return { isOwner: true, tenant, total, pages, results: results.slice(after), ...restriction };
  }

  private async readOwned(
    job: OwnedJob,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure> {
    await this.awaitResults(job, after, wait);
    if (!job.canAnswer) return this.readHere(job.spec.id, after, 0, caller);
    if (mayBeListedElsewhere(job, after)) return this.readUnowned(job.spec.id, after, 0, caller);
    const { id, items } = job.spec;
    if (mayLackResults(job, after)) {
      const unread = { kind: 'unavailable', cause: 'ownership-unconfirmed' } as const;
      this.options.reads.noteUnread(id, after, unread);
      return storeUnavailable();
    }
    const { pages, term } = job;
    const slice = sliceOf({ total: items.length, results: job.results }, after);
    this.options.reads.noteRead(id, after, slice, {
      from: 'owner',
      owner: this.options.self,
      pages,
      term,
    });
    return slice;
  }

  /** Waits for a result at or after a position, or confirms that none is listed. */
  private async awaitResults(job: OwnedJob, after: number, wait: Milliseconds): Promise<void> {
    if (after >= job.results.length && job.isOpen && wait > 0) await firstChange(job, wait);
    if (!mayLackResults(job, after)) return;
    // The verification may be queued behind a commit that the store does not answer.
    await Promise.race([job.verifyNow(), this.options.clock.sleep(VERIFY_TIMEOUT)]);
  }
}

const REGION_DENIED = failure('region_unavailable', 'the job may not lie in this region');

/** Whether another owner may have listed results that this one does not have. */
function mayLackResults(job: OwnedJob, after: number): boolean {
  const isShort = after >= job.results.length && job.isOpen;
  return isShort && job.ownershipAge() > MAX_END_OF_LIST_CONFIRMATION_AGE;
}

/** Whether a recovery of a cancelled job may have listed journaled results that its owner lacks. */
function mayBeListedElsewhere(job: OwnedJob, after: number): boolean {
  const isShort = after >= job.results.length && job.closeReason === 'ended';
  return isShort && job.term !== undefined;
}

function bodyOrAbsent(body: string | undefined): Buffer | Failure {
  if (body === undefined) return failure('not_found', 'the job has no such item');
  return Buffer.from(body, 'base64');
}

/** Waits until a job lists results or closes, at most for `wait`. */
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
