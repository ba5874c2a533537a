/**
 * Takes over jobs whose owner is gone. After a node has left, a few of the nodes that run jobs look
 * for its jobs, one after the other by rendezvous hash of its name; such a node looks too when it
 * joins, and so does the coordinator now and then. Where two race, the commit on the job's head
 * decides. A node that may not hold a job has one that may take it.
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

/** Options of {@link JobTakeover}. */
export interface JobTakeoverOptions {
  readonly store: JobStore;
  readonly service: JobService;
  readonly fleet: FleetRegistry;
  readonly self: JobOwner;
  readonly placement: JobPlacement;
  readonly peers: PeerPort;
  /** Has another node take a job over; tells whether it did. */
  readonly adoptElsewhere: (
    node: NodeId,
    job: string,
    owner: JobOwner | null,
    ownerAnswers: boolean,
  ) => Promise<boolean>;
  /** Which nodes may hold a job. @default all */
  readonly residency?: JobResidency | undefined;
}

/** A departed node may be back with a new lease within this time; then nothing is taken over. */
const DEPARTURE_GRACE: Milliseconds = 700;

/** A life that was replaced is surely over; others may be replaced at the same time. */
const REPLACEMENT_GRACE: Milliseconds = 150;

/** Time for a node whose lease is over to show that it lives. */
const PROBE_LIMIT: Milliseconds = 300;

/** Time by which each rank lets the ones before it go first. */
const RANK_DELAY: Milliseconds = 900;

/** Time after which heads that could not be read are read again. */
const RETRY_DELAY: Milliseconds = 400;

/** Nodes that look for the jobs of one that left. */
const SCANNING_NODES = 2;

/** Looks that are due this close together are one: where many nodes leave at once, one look finds all. */
const SWEEP_STEP: Milliseconds = 300;

/** Nodes that are asked to take a job which the asking one may not hold. */
const MOST_ADOPTERS = 2;

/** Scans of a node that joins: the last one takes jobs of any rank. */
const SCANS = 3;

/** What a probe of an owner shows; `cut-off`: it lives and does not reach the store. */
type OwnerState = 'running' | 'cut-off' | 'gone';

/** After the store was silent here too, an owner that is cut off will be back as this node is. */
const RETURN_TIME: Milliseconds = 2_000;

/** What a scan found; `unavailable`: the store did not answer. */
type ScanOutcome = 'no-orphans' | 'orphans-seen' | 'unavailable';

/** Looks for jobs without a live owner after nodes have left. */
export class JobTakeover {
  private readonly timers = new Set<NodeJS.Timeout>();
  private isStopped = false;
  /** Sweeps that wait, by the time at which they are due in steps. */
  private readonly sweepsDue = new Set<number>();
  private readonly residency: JobResidency;

  constructor(private readonly options: JobTakeoverOptions) {
    this.residency = options.residency ?? UNRESTRICTED_RESIDENCY;
    options.fleet.terminations.subscribe((departure) => this.scanAfter(departure));
    options.fleet.listed.subscribe(() => this.scanSoon());
  }

  /** Takes over whatever has no live owner now. */
  async sweep(): Promise<void> {
    if ((await this.scan(SCANS - 1)) === 'unavailable') this.later(RANK_DELAY, () => this.sweep());
  }

  /** Scans after a departure, if this node is one of the few that do. */
  private scanAfter({ node, zone, cause }: NodeTermination): void {
    const successors = this.options.placement.successorsIn(zone);
    const nodes = rendezvousOrder(node, successors, (name) => name);
    const rank = nodes.indexOf(this.options.self.node);
    if (rank < 0 || rank >= SCANNING_NODES) return;
    const grace = cause === 'replaced' ? REPLACEMENT_GRACE : DEPARTURE_GRACE;
    this.sweepLater(grace + rank * RANK_DELAY);
  }

  private sweepLater(delay: Milliseconds): void {
    const step = Math.ceil((performance.now() + delay) / SWEEP_STEP);
    if (this.sweepsDue.has(step)) return;
    this.sweepsDue.add(step);
    this.later(delay, () => {
      this.sweepsDue.delete(step);
      return this.sweep();
    });
  }

  /** Scans soon, and again for jobs that better ranked nodes left alone. */
  scanSoon(): void {
    this.later(REPLACEMENT_GRACE, () => this.scanInTurn(0));
  }

  private async scanInTurn(allowedRank: number): Promise<void> {
    const isOwner = this.options.placement.owners().includes(this.options.self.node);
    const outcome = isOwner ? await this.scan(allowedRank) : 'orphans-seen';
    if (outcome === 'no-orphans') return;
    const next = outcome === 'unavailable' ? allowedRank : allowedRank + 1;
    if (next < SCANS) this.later(RANK_DELAY, () => this.scanInTurn(next));
  }

  private later(delay: Milliseconds, work: () => Promise<void>): void {
    // A scan that was under way when the node stopped may end after it, and want another.
    if (this.isStopped) return;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      void work();
    }, delay);
    this.timers.add(timer);
  }

  /** Takes over what a life of a node runs that is suspected, unless it is trusted again. */
  async takeFrom(
    owner: JobOwner,
    ownerAnswers: boolean,
    isStillSuspected: () => boolean,
  ): Promise<void> {
    const read = await this.options.store.heads();
    if (!isStillSuspected()) return;
    if (read.kind !== 'found') {
      // An owner that is lost during an outage of the store is still lost at its end.
      this.later(RETRY_DELAY, () => this.takeFrom(owner, ownerAnswers, isStillSuspected));
      return;
    }
    for (const [job, found] of read.value) {
      const { owner: current } = found.head;
      const isTheirs = current?.node === owner.node && current.incarnation === owner.incarnation;
      if (!isTheirs || isFinished(found.head)) continue;
      await this.adoptByPlacement(job, found, owner, ownerAnswers);
    }
  }

  /** The node that is to run the job takes it, or this one where that one does not. */
  private async adoptByPlacement(
    job: string,
    found: VersionedHead,
    owner: JobOwner | null,
    ownerAnswers: boolean,
  ): Promise<void> {
    const { placement, self, service, adoptElsewhere } = this.options;
    const mayHold = this.mayHold(found);
    const nodes = placement.ownersOf(job, found.head.zone, mayHold);
    const others = nodes.filter((name) => name !== owner?.node);
    const mayAdopt = mayHold(self.node);
    for (const node of others.slice(0, mayAdopt ? 1 : MOST_ADOPTERS)) {
      if (node === self.node) break;
      if (await adoptElsewhere(node, job, owner, ownerAnswers)) return;
    }
    if (mayAdopt) await service.takeOver(job, found, ownerAnswers);
  }

  private mayHold({ head }: VersionedHead): MayHold {
    return this.residency.holderFilter(this.residency.regionsForOrigin(head));
  }

  /** A job without a live owner is taken here, or offered where it is at home or may lie. */
  private async adoptFound(
    job: string,
    found: VersionedHead,
    ownerAnswers: boolean,
  ): Promise<void> {
    const { placement, service, self } = this.options;
    const { owner, zone } = found.head;
    const isOfOthers = owner !== null && placement.isOfOtherRegion(zone);
    if (isOfOthers || !this.mayHold(found)(self.node)) {
      await this.adoptByPlacement(job, found, owner, ownerAnswers);
    } else await service.takeOver(job, found, ownerAnswers);
  }

  /** Cancels scans that are due. */
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
      const mayAdopt = this.mayHold(found)(this.options.self.node);
      const rank = this.rankFor(job, found);
      if (mayAdopt && rank > allowedRank && allowedRank < SCANS - 1) continue;
      const state = await this.stateOf(found.head.owner);
      if (state === 'running') continue;
      await this.adoptFound(job, found, state === 'cut-off');
    }
    return orphans.length === 0 ? 'no-orphans' : 'orphans-seen';
  }

  /** A lease may lapse while its node lives; one that reaches the store goes on with its jobs. */
  private async stateOf(owner: JobOwner | null): Promise<OwnerState> {
    if (owner === null || this.isSelf(owner)) return 'gone';
    const request = { kind: 'probe', owner } as const;
    const outcome = await this.options.peers.request<'probe'>(owner.address, request, PROBE_LIMIT);
    if (outcome.kind !== 'answered' || !outcome.answer.isAlive) return 'gone';
    const isAlone = !this.options.fleet.wasStoreUnreachableWithin(RETURN_TIME);
    return outcome.answer.reachesStore || !isAlone ? 'running' : 'cut-off';
  }

  private isSelf(owner: JobOwner): boolean {
    const { self } = this.options;
    return owner.node === self.node && owner.incarnation === self.incarnation;
  }

  private rankFor(job: string, found: VersionedHead): number {
    const nodes = this.options.placement.ownersOf(job, found.head.zone, this.mayHold(found));
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
