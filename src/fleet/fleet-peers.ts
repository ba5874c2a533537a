/** Requests of this node to the other nodes of the fleet. */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { DigestedWork } from '../jobs/item-work-cache.js';
import type {
  CancellationAtOwner,
  ForwardedOutcome,
  JobPeers,
  OwnerItemBody,
  SubmissionPath,
  WeightNeed,
} from '../jobs/job-peers.js';
import type { OwnerListing } from '../jobs/job-reader.js';
import type { JobOwner, JobSpecification } from '../jobs/job-records.js';
import type { ResultSlice } from '../jobs/job-results.js';
import type { PeerPort, PeerRequestOf } from '../peers/peer-messages.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import {
  PERMIT_VALIDITY,
  type PermitAnswer,
  type PermitRequest,
} from '../placement/cold-permits.js';
import { type JobResidency, UNRESTRICTED_RESIDENCY } from '../placement/job-residency.js';
import type { DistanceBetween } from '../placement/zone-topology.js';
import type { Clock } from '../serving/clock.js';
import type { CrashReport } from '../serving/request-quarantine.js';
import type { UsageSource, WindowCounts } from '../singleton-tasks/usage-counts.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { CallerIdentity } from '../tenants/tenant.js';
import type { CoordinatorLock } from './coordinator-lock.js';
import type { FleetRegistry } from './fleet-registry.js';
import type { JobPlacement } from './job-placement.js';
import { CANCELLATION_TIMEOUT } from './peer-limits.js';
import { PeerRequester } from './peer-requester.js';
import { SubmissionRouter } from './submission-router.js';
import type { WeightChange } from './weight-changes.js';

const KEPT_WORK_TIMEOUT: Milliseconds = 120;
/**
 * Added to the requested wait: the owner may read the store to confirm that it lists no result.
 */
const RESULTS_TIMEOUT: Milliseconds = 700;
const TAKE_JOB_TIMEOUT: Milliseconds = 600;
const WEIGHTS_TIMEOUT: Milliseconds = 300;
const USAGE_TIMEOUT: Milliseconds = 600;
const RELEASE_TIMEOUT: Milliseconds = 500;
const CRASH_REPORT_TIMEOUT: Milliseconds = 300;

/** Time for the answer, in addition to a limit that is part of the request. */
const ANSWER_MARGIN: Milliseconds = 200;

/** Number of nodes that are queried about a job before the store is read. */
const LIKELY_OWNER_COUNT = 2;
const LIKELY_OWNER_COUNT_BY_ZONE = 3;

/** Number of nodes to which a released job is offered, one after the other. */
const MAX_TRANSFER_OFFERS = 2;

/** Covers a read and a write of the job's head record by the other node. */
const TAKEOVER_TIMEOUT: Milliseconds = 600;

export interface FleetPeersOptions {
  readonly port: PeerPort;
  readonly fleet: FleetRegistry;
  readonly placement: JobPlacement;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  /** Distance between zones. @default all zones are in one region */
  readonly distanceBetween?: DistanceBetween;
  readonly clock: Clock;
  readonly metrics: FleetMetrics;
  readonly lock: () => CoordinatorLock;
  /** Called on the coordinator with the weights that a job needs. */
  readonly onWeightsNeeded: (need: WeightNeed) => void;
  /** Called when a worker starts or completes a change of weights. */
  readonly onWeightChanged: (change: WeightChange) => void;
  /** Whether this zone accepts jobs while the store is unreachable. */
  readonly acceptsJobsWithoutStore: () => boolean;
  /** Restricts which nodes may store a job. @default all may */
  readonly residency?: JobResidency | undefined;
}

/** Sends requests to the other nodes of the fleet. */
export class FleetPeers implements JobPeers {
  private readonly requester: PeerRequester;
  private readonly submissions: SubmissionRouter;
  private readonly residency: JobResidency;

  constructor(private readonly options: FleetPeersOptions) {
    this.residency = options.residency ?? UNRESTRICTED_RESIDENCY;
    this.requester = new PeerRequester(options);
    this.submissions = new SubmissionRouter({ ...options, requester: this.requester });
  }

  async cachedWork(items: readonly string[]): Promise<ReadonlyMap<string, DigestedWork>> {
    const nodes = this.options.placement.owners().filter((node) => node !== this.options.self.node);
    const request = { kind: 'kept-work', items, zone: this.options.zone } as const;
    const outcomes = await Promise.all(
      nodes.map((node) => this.requester.request<'kept-work'>(node, request, KEPT_WORK_TIMEOUT)),
    );
    const work = new Map<string, DigestedWork>();
    for (const outcome of outcomes) {
      if (outcome?.kind !== 'answered') continue;
      for (const [id, itemWork] of outcome.answer.work) {
        if (hasMoreProgress(itemWork, work.get(id))) work.set(id, itemWork);
      }
    }
    return work;
  }

  async ownerListing(
    owner: JobOwner,
    job: string,
    after: number,
    wait: Milliseconds,
  ): Promise<OwnerListing | undefined> {
    if (!this.options.fleet.isLive(owner)) return undefined;
    const request = { kind: 'job-results', job, after, wait } as const;
    const outcome = await this.requester.request<'job-results'>(
      owner.node,
      request,
      wait + RESULTS_TIMEOUT,
    );
    if (outcome?.kind === 'refused') this.options.placement.noteUnresponsive(owner.node);
    if (outcome?.kind !== 'answered' || !outcome.answer.isOwner) return undefined;
    return outcome.answer;
  }

  async cancelAtOwner(
    owner: JobOwner,
    job: string,
    caller: CallerIdentity,
  ): Promise<CancellationAtOwner> {
    if (!this.options.fleet.isLive(owner)) return false;
    const outcome = await this.requester.request<'end-job'>(
      owner.node,
      { kind: 'end-job', job, caller },
      CANCELLATION_TIMEOUT,
    );
    if (outcome?.kind !== 'answered') return false;
    return outcome.answer.mayBeCreated === true ? 'may-be-created' : outcome.answer.isEnded;
  }

  async releaseAtOwner(owner: JobOwner, job: string): Promise<ReadonlyMap<string, DigestedWork>> {
    const request = { kind: 'surrender-job', job, zone: this.options.zone } as const;
    const outcome = await this.requester.requestAt<'surrender-job'>(
      owner.address,
      request,
      RELEASE_TIMEOUT,
    );
    return outcome.kind === 'answered' ? outcome.answer.work : new Map();
  }

  likelyOwners(job: string): readonly JobOwner[] {
    return this.otherOwners(job).slice(0, this.likelyOwnerCount);
  }

  /** Incarnations of the other nodes that may own a job, in order of preference. */
  private otherOwners(job: string, allowed?: AllowedRegions): JobOwner[] {
    const { fleet, placement, self } = this.options;
    const inOrder = placement.ownersOf(job, undefined, this.residency.holderFilter(allowed));
    const otherNodes = inOrder.filter((node) => node !== self.node);
    return otherNodes
      .map((node) => fleet.incarnationOf(node))
      .filter((owner) => owner !== undefined);
  }

  /**
   * Number of nodes to query about a job: two (the owner and the next in order), or three if each
   * zone runs its own jobs.
   */
  private get likelyOwnerCount(): number {
    return this.options.placement.runsJobsByZone ? LIKELY_OWNER_COUNT_BY_ZONE : LIKELY_OWNER_COUNT;
  }

  async bodyAtOwner(job: string, item: string): Promise<OwnerItemBody | undefined> {
    const owners = this.likelyOwners(job);
    const request = { kind: 'item-body', job, item } as const;
    for (const owner of this.options.placement.runsJobsByZone ? owners : owners.slice(0, 1)) {
      const outcome = await this.requester.request<'item-body'>(
        owner.node,
        request,
        RESULTS_TIMEOUT,
      );
      if (outcome?.kind === 'answered' && outcome.answer.isOwner) return outcome.answer;
    }
    return undefined;
  }

  submitElsewhere(spec: JobSpecification): Promise<SubmissionPath> {
    return this.submissions.route(spec);
  }

  async readElsewhere(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure | undefined> {
    const node = await this.requester.findNodeReachingStore();
    if (node === undefined) return undefined;
    const request = { kind: 'read-for', job, after, wait, caller } as const;
    const read = await this.readAt(node, request);
    if (!isRegionUnavailable(read)) return read;
    const { fleet } = this.options;
    const zone = fleet.zoneOf(node);
    const otherRegionNode = await this.requester.findNodeReachingStore(
      'anywhere',
      (other) => !this.residency.areInOneRegion(fleet.zoneOf(other), zone),
    );
    return otherRegionNode === undefined ? read : this.readAt(otherRegionNode, request);
  }

  private async readAt(
    node: NodeId,
    request: PeerRequestOf<'read-for'>,
  ): Promise<ResultSlice | Failure | undefined> {
    const limit = request.wait + RESULTS_TIMEOUT + ANSWER_MARGIN;
    const outcome = await this.requester.request<'read-for'>(node, request, limit);
    return outcome?.kind === 'answered' ? outcome.answer.read : undefined;
  }

  async cancelElsewhere(
    job: string,
    caller: CallerIdentity,
  ): Promise<ForwardedOutcome | undefined> {
    const node = await this.requester.findNodeReachingStore();
    if (node === undefined) return undefined;
    const request = { kind: 'end-for', job, caller } as const;
    const outcome = await this.requester.request<'end-for'>(
      node,
      request,
      CANCELLATION_TIMEOUT + ANSWER_MARGIN,
    );
    return outcome?.kind === 'answered' ? outcome.answer : undefined;
  }

  async offerReleased(job: string, allowed?: AllowedRegions): Promise<void> {
    const nodes = this.otherOwners(job, allowed).slice(0, MAX_TRANSFER_OFFERS);
    for (const node of nodes) {
      const request = { kind: 'take-job', job } as const;
      const outcome = await this.requester.request<'take-job'>(
        node.node,
        request,
        TAKE_JOB_TIMEOUT,
      );
      if (outcome?.kind === 'answered' && outcome.answer.isTaken) return;
    }
  }

  async transferMisplaced(job: string, owner: JobOwner, allowed: AllowedRegions): Promise<boolean> {
    const nodes = this.otherOwners(job, allowed).slice(0, MAX_TRANSFER_OFFERS);
    for (const { node } of nodes) {
      if (await this.requestTakeover(node, job, owner, true)) return true;
    }
    return false;
  }

  /** Has the designated node take over a job; resolves with whether it did. */
  async requestTakeover(
    node: NodeId,
    job: string,
    owner: JobOwner | null,
    ownerAnswers: boolean,
  ): Promise<boolean> {
    if (owner === null) {
      const takeRequest = { kind: 'take-job', job } as const;
      const takeOutcome = await this.requester.request<'take-job'>(
        node,
        takeRequest,
        TAKE_JOB_TIMEOUT,
      );
      return takeOutcome?.kind === 'answered' && takeOutcome.answer.isTaken;
    }
    const request = { kind: 'adopt-job', job, owner, ownerAnswers } as const;
    const outcome = await this.requester.request<'adopt-job'>(node, request, TAKEOVER_TIMEOUT);
    return outcome?.kind === 'answered' && outcome.answer.isTaken;
  }

  reportWeightNeed(needed: WeightNeed): void {
    const { placement, zone } = this.options;
    const need = placement.isByLocality ? { ...needed, zone } : needed;
    const holder = this.options.lock().holder;
    if (holder === undefined) return;
    if (holder === this.options.self.node) {
      this.options.onWeightsNeeded(need);
      return;
    }
    void this.requester.request<'need-weights'>(
      holder,
      { kind: 'need-weights', need },
      WEIGHTS_TIMEOUT,
    );
  }

  /** Notifies the nodes that run the jobs of zones or regions of a worker's change of weights. */
  broadcastWeightChange(change: WeightChange): void {
    const { placement, self, onWeightChanged } = this.options;
    if (!placement.isByLocality) return;
    onWeightChanged(change);
    const request = { kind: 'weights-change', change } as const;
    for (const node of placement.owners()) {
      if (node !== self.node)
        void this.requester.request<'weights-change'>(node, request, WEIGHTS_TIMEOUT);
    }
  }

  /** Reports to the coordinator the requests that workers started for this node. */
  async reportUsage(holder: NodeId, source: UsageSource, counts: WindowCounts): Promise<boolean> {
    const request = { kind: 'usage-counts', source, counts } as const;
    const outcome = await this.requester.request<'usage-counts'>(holder, request, USAGE_TIMEOUT);
    return outcome?.kind === 'answered' && outcome.answer.isNoted;
  }

  /**
   * Requests permits to use cold workers from the coordinator; `undefined` without an answer in
   * time.
   */
  async requestPermits(
    node: NodeId,
    requests: readonly PermitRequest[],
  ): Promise<PermitAnswer | undefined> {
    const request = { kind: 'cold-permits', wishes: requests } as const;
    const outcome = await this.requester.request<'cold-permits'>(node, request, PERMIT_VALIDITY);
    return outcome?.kind === 'answered' ? outcome.answer : undefined;
  }

  /**
   * Reports to a node the requests that ran on a crashed worker; resolves with whether it
   * acknowledged them.
   */
  async reportWorkerCrash(node: NodeId, report: CrashReport): Promise<boolean> {
    const request = { kind: 'worker-ended', report } as const;
    const outcome = await this.requester.request<'worker-ended'>(
      node,
      request,
      CRASH_REPORT_TIMEOUT,
    );
    return outcome?.kind === 'answered' && outcome.answer.isNoted;
  }
}

/** Whether a node rejected a read because the job is limited to other regions. */
function isRegionUnavailable(read: ResultSlice | Failure | undefined): boolean {
  return read !== undefined && 'kind' in read && read.kind === 'region_unavailable';
}

/** Whether one node has made more progress on an item than another. */
function hasMoreProgress(candidate: DigestedWork, other: DigestedWork | undefined): boolean {
  return other === undefined || progressOf(candidate) > progressOf(other);
}

function progressOf({ work }: DigestedWork): number {
  return work.kind === 'finished' ? Number.POSITIVE_INFINITY : work.progress.events.length;
}
