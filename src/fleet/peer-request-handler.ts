/** Answers the questions that other nodes of the fleet ask this one. */
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
import { END_LIMIT } from './peer-limits.js';
import type { WatchRelay } from './watch-relay.js';
import type { WeightChange } from './weight-changes.js';

/** Options of {@link PeerRequestHandler}. */
export interface PeerRequestHandlerOptions {
  readonly fleet: FleetRegistry;
  readonly self: JobOwner;
  readonly clock: Clock;
  readonly jobs: () => JobService;
  readonly lock: () => CoordinatorLock;
  readonly relay: () => WatchRelay;
  /** Called on the holder of the duties: what workers began to run for another node. */
  readonly onUsageReported: (source: UsageSource, counts: WindowCounts) => void;
  /** Another node was told by a broken connection that a worker ended. */
  readonly onWorkerCrashed: (report: CrashReport) => void;
  /** Called on the coordinator: what a job needs. */
  readonly onWeightsNeeded: (need: WeightNeed) => void;
  /** A worker changes weights, or has. */
  readonly onWeightChanged: (change: WeightChange) => void;
  /** Called on the coordinator: permits that another node wishes for. */
  readonly permits: (wishes: readonly PermitRequest[]) => PermitAnswer;
  /** Whether this zone takes jobs in while the store is out of reach. */
  readonly acceptsJobsWithoutStore: () => boolean;
}

/** This node, as the others ask it. */
export class PeerRequestHandler implements PeerHandler {
  constructor(private readonly options: PeerRequestHandlerOptions) {}

  async answer(request: PeerRequest): Promise<PeerAnswers[PeerRequest['kind']] | undefined> {
    const { self, jobs, onWeightsNeeded: weightsNeeded } = this.options;
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
        return { isEnded: await this.endHere(request.job, request.caller) };
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
        return { read: await this.readHere(request) };
      case 'end-for':
        return { failure: await this.endFor(request.job, request.caller) };
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
        this.options.onUsageReported(request.source, request.counts);
        return { isNoted: true };
      case 'weights-change':
        this.options.onWeightChanged(request.change);
        return { isNoted: true };
      case 'cold-permits':
        return this.options.permits(request.wishes);
      case 'need-weights':
        weightsNeeded(request.need);
        return { isNoted: true };
      default:
        return undefined;
    }
  }

  private async endHere(job: string, caller: CallerIdentity): Promise<boolean> {
    const { fleet, jobs, acceptsJobsWithoutStore: takesJobsAlone } = this.options;
    return (!fleet.isStoreUnreachable || takesJobsAlone()) && jobs().cancelOwn(job, caller);
  }

  private endFor(job: string, caller: CallerIdentity): Promise<Failure | undefined> {
    return this.options.jobs().cancelHere(job, caller, this.whileAsked(END_LIMIT));
  }

  private readHere(request: PeerRequestOf<'read-for'>): Promise<ResultSlice | Failure> {
    const { job, after, wait, caller } = request;
    return this.options.jobs().readForPeer(job, after, wait, caller);
  }

  /** Takes a job in for another node; refuses at once where the store is out of reach. */
  private async submitFor({
    spec,
    limit,
    isFromOutside = false,
  }: PeerRequestOf<'submit-for'>): Promise<Failure | undefined> {
    const { fleet, jobs, acceptsJobsWithoutStore: takesJobsAlone } = this.options;
    if (fleet.isStoreUnreachable && (isFromOutside || !takesJobsAlone())) {
      return failure('ledger_unavailable', 'the store does not answer', {
        retryAfter: STORE_RETRY_AFTER,
      });
    }
    return jobs().submitHere(spec, this.whileAsked(limit), isFromOutside);
  }

  /** True for a time from now on. */
  private whileAsked(limit: Milliseconds): () => boolean {
    const { clock } = this.options;
    const end = clock.now() + limit;
    return () => clock.now() < end;
  }
}
