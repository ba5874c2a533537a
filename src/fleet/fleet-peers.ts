/** Questions to the other nodes of a fleet, as this node asks them. */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { DigestedWork } from '../jobs/item-work-cache.js';
import type {
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
import { END_LIMIT } from './peer-limits.js';
import { PeerRequester } from './peer-requester.js';
import { SubmissionRouter } from './submission-router.js';
import type { WeightChange } from './weight-changes.js';

/** Time for an answer. */
const KEPT_WORK_LIMIT: Milliseconds = 120;
/** Beyond the wait that is asked for: the owner may have the store confirm that nothing is listed. */
const RESULTS_LIMIT: Milliseconds = 700;
const HAND_OVER_LIMIT: Milliseconds = 600;
const NEED_LIMIT: Milliseconds = 300;
const USAGE_LIMIT: Milliseconds = 600;
const SURRENDER_LIMIT: Milliseconds = 500;
const CRASH_REPORT_LIMIT: Milliseconds = 300;

/** Time beyond a limit for the answer. */
const ANSWER_TIME: Milliseconds = 200;

/** Nodes that are asked about a job before the store is. */
const LIKELY_OWNERS = 2;
const LIKELY_OWNERS_BY_ZONE = 3;

/** Nodes that a released job is offered to, one after the other. */
const HAND_OVER_OFFERS = 2;

/** Time for a node to take a job over: it reads a head and writes it. */
const ADOPT_LIMIT: Milliseconds = 600;

/** Options of {@link FleetPeers}. */
export interface FleetPeersOptions {
  readonly port: PeerPort;
  readonly fleet: FleetRegistry;
  readonly placement: JobPlacement;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  /** How far zones are from each other. @default all are of one region */
  readonly distanceBetween?: DistanceBetween;
  readonly clock: Clock;
  readonly metrics: FleetMetrics;
  readonly lock: () => CoordinatorLock;
  /** Called on the coordinator: what a job needs. */
  readonly onWeightsNeeded: (need: WeightNeed) => void;
  /** A worker changes weights, or has. */
  readonly onWeightChanged: (change: WeightChange) => void;
  /** Whether this zone takes jobs in while the store is out of reach. */
  readonly acceptsJobsWithoutStore: () => boolean;
  /** Which nodes may hold a job. @default all */
  readonly residency?: JobResidency | undefined;
}

/** The other nodes of the fleet. */
export class FleetPeers implements JobPeers {
  private readonly calls: PeerRequester;
  private readonly submissions: SubmissionRouter;
  private readonly residency: JobResidency;

  constructor(private readonly options: FleetPeersOptions) {
    this.residency = options.residency ?? UNRESTRICTED_RESIDENCY;
    this.calls = new PeerRequester(options);
    this.submissions = new SubmissionRouter({ ...options, calls: this.calls });
  }

  async cachedWork(items: readonly string[]): Promise<ReadonlyMap<string, DigestedWork>> {
    const nodes = this.options.placement.owners().filter((node) => node !== this.options.self.node);
    const request = { kind: 'kept-work', items, zone: this.options.zone } as const;
    const outcomes = await Promise.all(
      nodes.map((node) => this.calls.request<'kept-work'>(node, request, KEPT_WORK_LIMIT)),
    );
    const work = new Map<string, DigestedWork>();
    for (const outcome of outcomes) {
      if (outcome?.kind !== 'answered') continue;
      for (const [id, kept] of outcome.answer.work) {
        if (isFurther(kept, work.get(id))) work.set(id, kept);
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
    const outcome = await this.calls.request<'job-results'>(
      owner.node,
      request,
      wait + RESULTS_LIMIT,
    );
    if (outcome?.kind === 'refused') this.options.placement.noteUnresponsive(owner.node);
    if (outcome?.kind !== 'answered' || !outcome.answer.isOwner) return undefined;
    return outcome.answer;
  }

  async cancelAtOwner(owner: JobOwner, job: string, caller: CallerIdentity): Promise<boolean> {
    if (!this.options.fleet.isLive(owner)) return false;
    const outcome = await this.calls.request<'end-job'>(
      owner.node,
      { kind: 'end-job', job, caller },
      END_LIMIT,
    );
    return outcome?.kind === 'answered' && outcome.answer.isEnded;
  }

  async releaseAtOwner(owner: JobOwner, job: string): Promise<ReadonlyMap<string, DigestedWork>> {
    const request = { kind: 'surrender-job', job, zone: this.options.zone } as const;
    const outcome = await this.calls.requestAt<'surrender-job'>(
      owner.address,
      request,
      SURRENDER_LIMIT,
    );
    return outcome.kind === 'answered' ? outcome.answer.work : new Map();
  }

  likelyOwners(job: string): readonly JobOwner[] {
    return this.otherOwners(job).slice(0, this.mostLikelyOwners);
  }

  /** Lives of the other nodes that are to run a job, in their order. */
  private otherOwners(job: string, allowed?: AllowedRegions): JobOwner[] {
    const { fleet, placement, self } = this.options;
    const inOrder = placement.ownersOf(job, undefined, this.residency.holderFilter(allowed));
    const others = inOrder.filter((node) => node !== self.node);
    return others.map((node) => fleet.incarnationOf(node)).filter((owner) => owner !== undefined);
  }

  /**
   * The owner and the next in turn, both of the own region where regions run their own jobs; where
   * zones do, one in each of three zones.
   */
  private get mostLikelyOwners(): number {
    return this.options.placement.isByZone ? LIKELY_OWNERS_BY_ZONE : LIKELY_OWNERS;
  }

  async bodyAtOwner(job: string, item: string): Promise<OwnerItemBody | undefined> {
    const owners = this.likelyOwners(job);
    const request = { kind: 'item-body', job, item } as const;
    for (const owner of this.options.placement.isByZone ? owners : owners.slice(0, 1)) {
      const outcome = await this.calls.request<'item-body'>(owner.node, request, RESULTS_LIMIT);
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
    const node = await this.calls.findNodeReachingStore();
    if (node === undefined) return undefined;
    const request = { kind: 'read-for', job, after, wait, caller } as const;
    const read = await this.readAt(node, request);
    if (!isOutsideRegions(read)) return read;
    const { fleet } = this.options;
    const zone = fleet.zoneOf(node);
    const inside = await this.calls.findNodeReachingStore(
      'anywhere',
      (other) => !this.residency.areInOneRegion(fleet.zoneOf(other), zone),
    );
    return inside === undefined ? read : this.readAt(inside, request);
  }

  private async readAt(
    node: NodeId,
    request: PeerRequestOf<'read-for'>,
  ): Promise<ResultSlice | Failure | undefined> {
    const limit = request.wait + RESULTS_LIMIT + ANSWER_TIME;
    const outcome = await this.calls.request<'read-for'>(node, request, limit);
    return outcome?.kind === 'answered' ? outcome.answer.read : undefined;
  }

  async cancelElsewhere(
    job: string,
    caller: CallerIdentity,
  ): Promise<ForwardedOutcome | undefined> {
    const node = await this.calls.findNodeReachingStore();
    if (node === undefined) return undefined;
    const request = { kind: 'end-for', job, caller } as const;
    const outcome = await this.calls.request<'end-for'>(node, request, END_LIMIT + ANSWER_TIME);
    return outcome?.kind === 'answered' ? outcome.answer : undefined;
  }

  async offerReleased(job: string, allowed?: AllowedRegions): Promise<void> {
    const nodes = this.otherOwners(job, allowed).slice(0, HAND_OVER_OFFERS);
    for (const node of nodes) {
      const request = { kind: 'take-job', job } as const;
      const outcome = await this.calls.request<'take-job'>(node.node, request, HAND_OVER_LIMIT);
      if (outcome?.kind === 'answered' && outcome.answer.isTaken) return;
    }
  }

  async transferMisplaced(job: string, owner: JobOwner, allowed: AllowedRegions): Promise<boolean> {
    const nodes = this.otherOwners(job, allowed).slice(0, HAND_OVER_OFFERS);
    for (const { node } of nodes) {
      if (await this.requestTakeover(node, job, owner, true)) return true;
    }
    return false;
  }

  /** Has the node that is to run a job take it over; tells whether it did. */
  async requestTakeover(
    node: NodeId,
    job: string,
    owner: JobOwner | null,
    ownerAnswers: boolean,
  ): Promise<boolean> {
    if (owner === null) {
      const released = { kind: 'take-job', job } as const;
      const taken = await this.calls.request<'take-job'>(node, released, HAND_OVER_LIMIT);
      return taken?.kind === 'answered' && taken.answer.isTaken;
    }
    const request = { kind: 'adopt-job', job, owner, ownerAnswers } as const;
    const outcome = await this.calls.request<'adopt-job'>(node, request, ADOPT_LIMIT);
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
    void this.calls.request<'need-weights'>(holder, { kind: 'need-weights', need }, NEED_LIMIT);
  }

  /** Tells the nodes that run the zones' or regions' jobs that a worker changes weights. */
  broadcastWeightChange(change: WeightChange): void {
    const { placement, self, onWeightChanged: weightChanged } = this.options;
    if (!placement.isByLocality) return;
    weightChanged(change);
    const request = { kind: 'weights-change', change } as const;
    for (const node of placement.owners()) {
      if (node !== self.node) void this.calls.request<'weights-change'>(node, request, NEED_LIMIT);
    }
  }

  /** Tells the holder of the duties what workers began to run for this node. */
  async reportUsage(holder: NodeId, source: UsageSource, counts: WindowCounts): Promise<boolean> {
    const request = { kind: 'usage-counts', source, counts } as const;
    const outcome = await this.calls.request<'usage-counts'>(holder, request, USAGE_LIMIT);
    return outcome?.kind === 'answered' && outcome.answer.isNoted;
  }

  /** Asks the node that grants permits for cold workers; `undefined` where no answer came in time. */
  async requestPermits(
    node: NodeId,
    wishes: readonly PermitRequest[],
  ): Promise<PermitAnswer | undefined> {
    const request = { kind: 'cold-permits', wishes } as const;
    const outcome = await this.calls.request<'cold-permits'>(node, request, PERMIT_VALIDITY);
    return outcome?.kind === 'answered' ? outcome.answer : undefined;
  }

  /** Tells a node what was at a worker that ended; resolves with whether it knows now. */
  async reportWorkerCrash(node: NodeId, report: CrashReport): Promise<boolean> {
    const request = { kind: 'worker-ended', report } as const;
    const outcome = await this.calls.request<'worker-ended'>(node, request, CRASH_REPORT_LIMIT);
    return outcome?.kind === 'answered' && outcome.answer.isNoted;
  }
}

/** Whether a node must not pass on what it was to read, as the job is limited to other regions. */
function isOutsideRegions(read: ResultSlice | Failure | undefined): boolean {
  return read !== undefined && 'kind' in read && read.kind === 'region_unavailable';
}

/** Whether one node's work on an item got further than another's. */
function isFurther(one: DigestedWork, other: DigestedWork | undefined): boolean {
  return other === undefined || progressOf(one) > progressOf(other);
}

function progressOf({ work }: DigestedWork): number {
  return work.kind === 'finished' ? Number.POSITIVE_INFINITY : work.progress.events.length;
}
