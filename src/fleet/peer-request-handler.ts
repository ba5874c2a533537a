/** Answers the requests of other nodes of the fleet. */
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { WeightNeed } from '../jobs/job-peers.js';
import type { JobOwner } from '../jobs/job-records.js';
import type { ResultSlice } from '../jobs/job-results.js';
import type { JobService } from '../jobs/job-service.js';
import { STORE_RETRY_AFTER } from '../jobs/store-reads.js';
import type {
  PeerAnswers,
  PeerHandler,
  PeerRequest,
  PeerRequestOf,
} from '../peers/peer-messages.js';
import type { PermitAnswer, PermitRequest } from '../placement/cold-permits.js';
import type { Clock } from '../serving/clock.js';
import type { CrashReport } from '../serving/request-quarantine.js';
import type { UsageSource, WindowCounts } from '../singleton-tasks/usage-counts.js';
import type { CallerIdentity } from '../tenants/tenant.js';
import type { CoordinatorLock } from './coordinator-lock.js';
import type { FleetRegistry } from './fleet-registry.js';
import { CANCELLATION_TIMEOUT } from './peer-limits.js';
import type { WatchRelay } from './watch-relay.js';
import type { WeightChange } from './weight-changes.js';

export interface PeerRequestHandlerOptions {
  readonly fleet: FleetRegistry;
  readonly self: JobOwner;
  readonly clock: Clock;
  readonly jobs: () => JobService;
  readonly lock: () => CoordinatorLock;
  readonly relay: () => WatchRelay;
  /**
   * Called on the coordinator with the usage that another node reports; returns whether this node
   * accepts it.
   */
  readonly onUsageReported: (source: UsageSource, counts: WindowCounts) => boolean;
  /** Called when another node reports a crashed worker. */
  readonly onWorkerCrashed: (report: CrashReport) => void;
  /** Called on the coordinator with the weights that a job needs. */
  readonly onWeightsNeeded: (need: WeightNeed) => void;
  /** Called when a worker starts or completes a change of weights. */
  readonly onWeightChanged: (change: WeightChange) => void;
  /**
   * Called on the coordinator: decides on permits to use cold workers that another node requests.
   */
  readonly decidePermits: (requests: readonly PermitRequest[]) => PermitAnswer;
  /** Whether this zone accepts jobs while the store is unreachable. */
  readonly acceptsJobsWithoutStore: () => boolean;
}

/** Dispatches each request to the component that answers it. */
export class PeerRequestHandler implements PeerHandler {
  constructor(private readonly options: PeerRequestHandlerOptions) {}

  async answer(request: PeerRequest): Promise<PeerAnswers[PeerRequest['kind']] | undefined> {
    const { self, jobs, onWeightsNeeded } = this.options;
    switch (request.kind) {
      case 'probe':
        return {
          isAlive: request.owner.incarnation === self.incarnation,
          reachesStore: !this.options.fleet.isStoreUnreachable,
          hasDuties: this.options.fleet.requiresShortLease,
        };
      case 'kept-work':
        return { work: jobs().cachedWorkOf(request.items, request.zone) };
      case 'job-results':
        return jobs().ownListing(request.job, request.after, request.wait);
      case 'end-job':
        return this.cancelOwned(request.job, request.caller);
      case 'surrender-job':
        return { work: jobs().releaseTakenOver(request.job, request.zone) };
      case 'submit-for':
        return { failure: await this.submitFor(request) };
      case 'adopt-job':
        return {
          isTaken: await jobs().takeOverFrom(request.job, request.owner, request.ownerAnswers),
        };
      case 'item-body':
        return jobs().ownItemBody(request.job, request.item);
      case 'read-for':
        return { read: await this.readFor(request) };
      case 'end-for':
        return { failure: await this.cancelFor(request.job, request.caller) };
      case 'take-job':
        return { isTaken: await jobs().takeReleased(request.job) };
      case 'follow-prefix':
        return this.options.relay().answer(request);
      case 'list-prefix':
        return this.options.relay().answerList(request);
      case 'resign-coordinator':
        return { lastOrderAge: this.options.lock().resign() };
      case 'worker-ended':
        this.options.onWorkerCrashed(request.report);
        return { isNoted: true };
      case 'usage-counts':
        return { isNoted: this.options.onUsageReported(request.source, request.counts) };
      case 'weights-change':
        this.options.onWeightChanged(request.change);
        return { isNoted: true };
      case 'cold-permits':
        return this.options.decidePermits(request.wishes);
      case 'need-weights':
        onWeightsNeeded(request.need);
        return { isNoted: true };
      default:
        return undefined;
    }
  }

  private async cancelOwned(job: string, caller: CallerIdentity): Promise<PeerAnswers['end-job']> {
    const { fleet, jobs, acceptsJobsWithoutStore: acceptsJobs } = this.options;
    if (!fleet.isStoreUnreachable || acceptsJobs()) {
      const cancellation = await jobs().cancelOwn(job, caller);
      if (cancellation === 'may-be-created') return { isEnded: false, mayBeCreated: true };
      return { isEnded: cancellation };
    }
    // The sender cancels the job in the store instead.
    jobs().noteCancellationRequested(job, caller);
    return { isEnded: false };
  }

  private cancelFor(job: string, caller: CallerIdentity): Promise<Failure | undefined> {
    return this.options.jobs().cancelHere(job, caller, this.untilTimeout(CANCELLATION_TIMEOUT));
  }

  private readFor(request: PeerRequestOf<'read-for'>): Promise<ResultSlice | Failure> {
    const { job, after, wait, caller } = request;
    return this.options.jobs().readForPeer(job, after, wait, caller);
  }

  /** Accepts a job for another node; rejects it at once if the store is unreachable. */
  private async submitFor({
    spec,
    limit,
    isFromOutside = false,
  }: PeerRequestOf<'submit-for'>): Promise<Failure | undefined> {
    const { fleet, jobs, acceptsJobsWithoutStore: acceptsJobs } = this.options;
    if (fleet.isStoreUnreachable && (isFromOutside || !acceptsJobs())) {
      return failure('ledger_unavailable', 'the store does not answer', {
        retryAfter: STORE_RETRY_AFTER,
      });
    }
    return jobs().submitHere(spec, this.untilTimeout(limit), isFromOutside);
  }

  /** Returns a predicate that holds for a time from now on. */
  private untilTimeout(limit: Milliseconds): () => boolean {
    const { clock } = this.options;
    const end = clock.now() + limit;
    return () => clock.now() < end;
  }
}
