/**
 * Takes over jobs whose owner has failed. After a node terminates, a few of the nodes that run jobs
 * scan for its jobs, ordered by rendezvous hash of its name. A node also scans when it joins, and
 * the coordinator scans periodically. The commit on the job's head decides races. A node that may
 * not hold a job offers it to one that may.
 */
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { JobOwner } from '../jobs/job-records.js';
import { isFinished } from '../jobs/job-records.js';
import type { JobService } from '../jobs/job-service.js';
import type { JobStore, VersionedHead } from '../jobs/job-store.js';
import type { PeerPort } from '../peers/peer-messages.js';
import {
  type JobResidency,
  type MayHold,
  UNRESTRICTED_RESIDENCY,
} from '../placement/job-residency.js';
import type { FleetRegistry, NodeTermination } from './fleet-registry.js';
import type { JobPlacement } from './job-placement.js';

export interface JobTakeoverOptions {
  readonly store: JobStore;
  readonly service: JobService;
  readonly fleet: FleetRegistry;
  readonly self: JobOwner;
  readonly placement: JobPlacement;
  readonly peers: PeerPort;
  /** Asks another node to take over a job; resolves to whether it did. */
  readonly requestTakeover: (
    node: NodeId,
    job: string,
    owner: JobOwner | null,
    ownerAnswers: boolean,
  ) => Promise<boolean>;
  /** Which nodes may hold a job. @default all */
  readonly residency?: JobResidency | undefined;
}

/** Time in which a terminated node may return with a new lease; its jobs then stay. */
const TERMINATION_GRACE: Milliseconds = 700;

/**
 * Delay after an incarnation was replaced and has thus terminated; other nodes may be restarting
 * too.
 */
const REPLACEMENT_GRACE: Milliseconds = 150;

/** Time limit for a node whose lease expired to answer a probe. */
const PROBE_TIMEOUT: Milliseconds = 300;

/** Delay per rank, so that nodes of lower rank go first. */
const RANK_DELAY: Milliseconds = 900;

/** Delay before a failed read of the heads is repeated. */
const RETRY_DELAY: Milliseconds = 400;

/** Number of nodes that scan for the jobs of a terminated node. */
const MAX_SCANNING_NODES = 2;

/**
 * Sweeps due within the same step are merged: one sweep covers many nodes that terminate together.
 */
const SWEEP_STEP: Milliseconds = 300;

/** Maximum number of nodes asked to take over a job that this node may not hold. */
const MAX_TAKEOVER_OFFERS = 2;

/** Scans after a node joins; the last one takes over jobs regardless of rank. */
const MAX_SCANS = 3;

/** Result of a probe of an owner; `cut-off`: the owner is live and cannot reach the store. */
type OwnerState = 'running' | 'cut-off' | 'gone';

/**
 * Time after an outage of the store at this node in which a disconnected owner is expected to
 * reconnect as well.
 */
const STORE_RECOVERY_TIME: Milliseconds = 2_000;

/** Result of a scan; `unavailable`: the store did not answer. */
type ScanOutcome = 'no-orphans' | 'orphans-seen' | 'unavailable';

/** Scans for jobs without a live owner after nodes have terminated. */
export class JobTakeover {
  private readonly timers = new Set<NodeJS.Timeout>();
  private isStopped = false;
  /** Scheduled sweeps, by their due time in units of `SWEEP_STEP`. */
  private readonly scheduledSweeps = new Set<number>();
  private readonly residency: JobResidency;

  constructor(private readonly options: JobTakeoverOptions) {
    this.residency = options.residency ?? UNRESTRICTED_RESIDENCY;
    options.fleet.terminations.subscribe((termination) => this.scheduleSweepAfter(termination));
    options.fleet.listed.subscribe(() => this.scheduleScan());
  }

  /** Takes over all jobs that have no live owner. */
  async sweep(): Promise<void> {
    if ((await this.scan(MAX_SCANS - 1)) === 'unavailable')
      this.schedule(RANK_DELAY, () => this.sweep());
  }

  /** Schedules a sweep after a node terminated, if this node is one of the few that scan. */
  private scheduleSweepAfter({ node, zone, cause }: NodeTermination): void {
    const candidates = this.options.placement.takeoverCandidates(zone);
    const nodes = rendezvousOrder(node, candidates, (name) => name);
    const rank = nodes.indexOf(this.options.self.node);
    if (rank < 0 || rank >= MAX_SCANNING_NODES) return;
    const grace = cause === 'replaced' ? REPLACEMENT_GRACE : TERMINATION_GRACE;
    this.scheduleSweep(grace + rank * RANK_DELAY);
  }

  private scheduleSweep(delay: Milliseconds): void {
    const step = Math.ceil((performance.now() + delay) / SWEEP_STEP);
    if (this.scheduledSweeps.has(step)) return;
    this.scheduledSweeps.add(step);
    this.schedule(delay, () => {
      this.scheduledSweeps.delete(step);
      return this.sweep();
    });
  }

  /** Schedules scans, each of which includes jobs of one rank more than the last. */
  scheduleScan(): void {
    this.schedule(REPLACEMENT_GRACE, () => this.scanUpToRank(0));
  }

  private async scanUpToRank(allowedRank: number): Promise<void> {
    const isOwner = this.options.placement.owners().includes(this.options.self.node);
    const outcome = isOwner ? await this.scan(allowedRank) : 'orphans-seen';
    if (outcome === 'no-orphans') return;
    const nextRank = outcome === 'unavailable' ? allowedRank : allowedRank + 1;
    if (nextRank < MAX_SCANS) this.schedule(RANK_DELAY, () => this.scanUpToRank(nextRank));
  }

  private schedule(delay: Milliseconds, work: () => Promise<void>): void {
    // A scan that ends after the node stopped must not schedule another one.
    if (this.isStopped) return;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      void work();
    }, delay);
    this.timers.add(timer);
  }

  /** Takes over the jobs of a suspected incarnation, unless the suspicion is withdrawn first. */
  async takeOverFrom(
    owner: JobOwner,
    ownerAnswers: boolean,
    isStillSuspected: () => boolean,
  ): Promise<void> {
    const read = await this.options.store.heads();
    if (!isStillSuspected()) return;
    if (read.kind !== 'found') {
      // The read is retried: an owner lost during an outage of the store is still lost after it.
      this.schedule(RETRY_DELAY, () => this.takeOverFrom(owner, ownerAnswers, isStillSuspected));
      return;
    }
    for (const [job, found] of read.value) {
      const { owner: current } = found.head;
      const isOwnedBySuspect =
        current?.node === owner.node && current.incarnation === owner.incarnation;
      if (!isOwnedBySuspect || isFinished(found.head)) continue;
      await this.takeOverByPlacement(job, found, owner, ownerAnswers);
    }
  }

  /** Offers the job to its preferred owners; this node takes it over if they do not. */
  private async takeOverByPlacement(
    job: string,
    found: VersionedHead,
    owner: JobOwner | null,
    ownerAnswers: boolean,
  ): Promise<void> {
    const { placement, self, service, requestTakeover } = this.options;
    const mayHold = this.holderFilterOf(found);
    const nodes = placement.ownersOf(job, found.head.zone, mayHold);
    const candidates = nodes.filter((name) => name !== owner?.node);
    const mayHoldHere = mayHold(self.node);
    for (const node of candidates.slice(0, mayHoldHere ? 1 : MAX_TAKEOVER_OFFERS)) {
      if (node === self.node) break;
      if (await requestTakeover(node, job, owner, ownerAnswers)) return;
    }
    if (mayHoldHere) await service.takeOver(job, found, ownerAnswers);
  }

  private holderFilterOf({ head }: VersionedHead): MayHold {
    return this.residency.holderFilter(this.residency.regionsForOrigin(head));
  }

  /** Takes an orphaned job over, or offers it to its own region or to nodes that may hold it. */
  private async takeOverOrphan(
    job: string,
    found: VersionedHead,
    ownerAnswers: boolean,
  ): Promise<void> {
    const { placement, service, self } = this.options;
    const { owner, zone } = found.head;
    const belongsToOtherRegion = owner !== null && placement.isInOtherRegion(zone);
    if (belongsToOtherRegion || !this.holderFilterOf(found)(self.node)) {
      await this.takeOverByPlacement(job, found, owner, ownerAnswers);
    } else await service.takeOver(job, found, ownerAnswers);
  }

  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }

  private async scan(allowedRank: number): Promise<ScanOutcome> {
    const read = await this.options.store.heads();
    if (read.kind !== 'found') return 'unavailable';
    const orphans = [...read.value].filter(([job, found]) => this.isOrphan(job, found));
    for (const [job, found] of orphans) {
      const mayHoldHere = this.holderFilterOf(found)(this.options.self.node);
      const rank = this.rankFor(job, found);
      if (mayHoldHere && rank > allowedRank && allowedRank < MAX_SCANS - 1) continue;
      const state = await this.probeOwner(found.head.owner);
      if (state === 'running') continue;
      await this.takeOverOrphan(job, found, state === 'cut-off');
    }
    return orphans.length === 0 ? 'no-orphans' : 'orphans-seen';
  }

  /**
   * A lease may expire while its node is live; a node that reaches the store continues its jobs.
   */
  private async probeOwner(owner: JobOwner | null): Promise<OwnerState> {
    if (owner === null || this.isSelf(owner)) return 'gone';
    const request = { kind: 'probe', owner } as const;
    const outcome = await this.options.peers.request<'probe'>(
      owner.address,
      request,
      PROBE_TIMEOUT,
    );
    if (outcome.kind !== 'answered' || !outcome.answer.isAlive) return 'gone';
    const isOutageLocalToOwner = !this.options.fleet.wasStoreUnreachableWithin(STORE_RECOVERY_TIME);
    return outcome.answer.reachesStore || !isOutageLocalToOwner ? 'running' : 'cut-off';
  }

  private isSelf(owner: JobOwner): boolean {
    const { self } = this.options;
    return owner.node === self.node && owner.incarnation === self.incarnation;
  }

  private rankFor(job: string, found: VersionedHead): number {
    const nodes = this.options.placement.ownersOf(job, found.head.zone, this.holderFilterOf(found));
    const rank = nodes.indexOf(this.options.self.node);
    return rank < 0 ? nodes.length : rank;
  }

  private isOrphan(job: string, { head }: VersionedHead): boolean {
    const { fleet, service } = this.options;
    if (isFinished(head)) return false;
    if (head.owner === null) return true;
    if (!this.isSelf(head.owner)) return !fleet.isLive(head.owner);
    if (service.isTakingOver(job)) return false;
    return !service.ownedJobs().some((owned) => owned.spec.id === job && owned.isActive);
  }
}
