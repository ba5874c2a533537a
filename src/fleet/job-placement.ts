/**
 * Selects the nodes that run jobs. A few nodes, by rendezvous hash among the largest machines,
 * own all jobs: few nodes then track the load of the workers, connections to workers are reused,
 * and any node finds the owner of a job by its id without a read of the store.
 *
 * Where zones are autonomous, the owners of a zone run the jobs submitted there, also while the
 * zone is partitioned. In a fleet of several regions the owners of a region do, which keeps their
 * traffic off the link between regions.
 *
 * Two nodes with different membership lists may select different owners; the commit on the job's
 * head decides, and a node that asked the wrong owner reads the head.
 */
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { MayHold } from '../placement/job-residency.js';
import type { Localities, LocalityName } from '../placement/locality.js';
import type { Clock } from '../serving/clock.js';

/** Rendezvous hash key that orders nodes as owners of jobs. */
const OWNERS_KEY = 'job-owners';

/** Minimum number of owners, so that the loss of one leaves most jobs running. */
const MIN_OWNERS = 3;

/**
 * Minimum number of owners in an autonomous zone or a region. A single owner tracks all items
 * there, so that owners do not compete for slots of workers; if it does not answer, the next node
 * replaces it.
 */
const MIN_OWNERS_PER_LOCALITY = 1;

/**
 * Number of nodes per owner; even the smallest machines carry the resulting load: some 40 items per
 * second, where a fleet of 165 nodes receives about 100.
 */
const NODES_PER_OWNER = 40;

/**
 * Minimum share of the largest machine's capacity at which a machine is preferred as an owner.
 */
const MIN_CAPACITY_SHARE = 0.75;

/** Time for which a node that did not answer is excluded from the owners. */
const UNRESPONSIVE_EXCLUSION_TIME: Milliseconds = 3_000;

/** Number of owners that a job is offered to before the accepting node runs it itself. */
const MAX_OFFERS = 2;

/** The localities of the fleet, with the zone of each node that is known. */
export interface NodeLocalities extends Localities {
  readonly zoneOf: (node: NodeId) => ZoneName | undefined;
}

export interface JobPlacementOptions {
  /** The zones or regions that each run the jobs submitted there. @default any node runs any job */
  readonly localities?: NodeLocalities | undefined;
  readonly liveNodes: () => readonly NodeId[];
  /** Processor share of a node's machine. */
  readonly capacityOf: (node: NodeId) => number;
  readonly clock: Pick<Clock, 'now'>;
}

const ANY_NODE: MayHold = () => true;

export class JobPlacement {
  private readonly excludedUntil = new Map<NodeId, Milliseconds>();

  constructor(private readonly options: JobPlacementOptions) {}

  /** Whether each zone runs the jobs submitted there, also while it is partitioned. */
  get runsJobsByZone(): boolean {
    return this.options.localities?.kind === 'zone';
  }

  /** Whether each zone or each region runs the jobs submitted there. */
  get isByLocality(): boolean {
    return this.options.localities !== undefined;
  }

  /** The nodes that run jobs, by this node's membership list. */
  owners(): NodeId[] {
    const { localities } = this.options;
    const nodes = this.responsiveNodes();
    if (localities === undefined) return this.selectOwners(nodes, MIN_OWNERS);
    return this.localitiesBeginningWith(localities.own).flatMap((name) => this.ownersIn(name));
  }

  /**
   * Returns the candidate owners of a job in order of preference. Those of the job's zone or region
   * come first; without `zone`, those of this node's. Nodes that may not hold the job are left out.
   */
  ownersOf(job: string, zone?: ZoneName, mayOwn: MayHold = ANY_NODE): NodeId[] {
    const { localities } = this.options;
    if (localities === undefined) {
      const owners = this.selectOwners(this.responsiveNodes().filter(mayOwn), MIN_OWNERS);
      return rendezvousOrder(job, owners, (node) => node);
    }
    const firstLocality = zone === undefined ? localities.own : localities.of(zone);
    return this.localitiesBeginningWith(firstLocality).flatMap((name) =>
      this.candidatesIn(name, job).filter(mayOwn),
    );
  }

  /**
   * Returns the owners that a job submitted at this node is offered to. An autonomous zone offers
   * no job to another zone: both could run the job while they are partitioned from each other. A
   * region may, after its own nodes; the store decides which node owns the job.
   */
  offerTargets(job: string, mayOwn: MayHold = ANY_NODE): NodeId[] {
    const { localities } = this.options;
    if (localities === undefined) return this.ownersOf(job, undefined, mayOwn).slice(0, MAX_OFFERS);
    const local = this.candidatesIn(localities.own, job);
    const ownTargets = local.slice(0, MAX_OFFERS);
    if (localities.kind === 'zone') return ownTargets;
    const otherOwners = this.ownersOf(job, undefined, mayOwn).filter(
      (node) => !local.includes(node),
    );
    return [...ownTargets, ...otherOwners.slice(0, 1)];
  }

  /**
   * Returns the nodes that take over the jobs of a terminated node of a zone: the owners of its
   * region, if any are left, so that the jobs stay in the region.
   */
  takeoverCandidates(zone: ZoneName): NodeId[] {
    const { localities } = this.options;
    if (localities?.kind !== 'region') return this.owners();
    const local = this.ownersIn(localities.of(zone));
    return local.length > 0 ? local : this.owners();
  }

  /** Whether a region other than this node's runs the jobs submitted in a zone. */
  isInOtherRegion(zone: ZoneName | undefined): boolean {
    const { localities } = this.options;
    if (localities?.kind !== 'region' || zone === undefined) return false;
    return localities.of(zone) !== localities.own;
  }

  /** Returns the owners, of any zone, that a job is offered to if this node may not hold it. */
  remoteOfferTargets(job: string, mayOwn: MayHold): NodeId[] {
    return rendezvousOrder(job, this.ownersOf(job, undefined, mayOwn), (node) => node);
  }

  /** Excludes a node that did not answer from the owners for a while. */
  noteUnresponsive(node: NodeId): void {
    this.excludedUntil.set(node, this.options.clock.now() + UNRESPONSIVE_EXCLUSION_TIME);
  }

  private responsiveNodes(): NodeId[] {
    return this.options.liveNodes().filter((node) => !this.isExcluded(node));
  }

  private ownersIn(locality: LocalityName, minimum = MIN_OWNERS_PER_LOCALITY): NodeId[] {
    const nodes = this.responsiveNodes().filter((node) => this.localityOf(node) === locality);
    return this.selectOwners(nodes, minimum);
  }

  /**
   * Returns the owners of a locality in order of preference for a job. For a region the next node
   * in rank is added, so that a job which its owner releases or loses stays in the region.
   */
  private candidatesIn(locality: LocalityName, job: string): NodeId[] {
    const owners = this.ownersIn(locality);
    const inOrder = rendezvousOrder(job, owners, (node) => node);
    if (this.runsJobsByZone) return inOrder;
    const extended = this.ownersIn(locality, owners.length + 1);
    const [nextInRank] = extended.filter((node) => !owners.includes(node));
    return nextInRank === undefined ? inOrder : [...inOrder, nextInRank];
  }

  /** All localities with live nodes, beginning with a given one. */
  private localitiesBeginningWith(first: LocalityName): LocalityName[] {
    const names = new Set(this.options.liveNodes().map((node) => this.localityOf(node)));
    names.delete(first);
    return [first, ...[...names].filter((name) => name !== undefined).sort()];
  }

  private localityOf(node: NodeId): LocalityName | undefined {
    const { localities } = this.options;
    const zone = localities?.zoneOf(node);
    return zone === undefined ? undefined : localities?.of(zone);
  }

  private selectOwners(nodes: readonly NodeId[], minimum: number): NodeId[] {
    const count = Math.max(minimum, Math.ceil(nodes.length / NODES_PER_OWNER));
    const highCapacityNodes = this.withHighCapacity(nodes, minimum);
    return rendezvousOrder(OWNERS_KEY, highCapacityNodes, (node) => node).slice(0, count);
  }

  /** Returns the nodes with high capacity, or all nodes if these are fewer than `minimum`. */
  private withHighCapacity(nodes: readonly NodeId[], minimum: number): readonly NodeId[] {
    const { capacityOf } = this.options;
    const maxCapacity = Math.max(0, ...nodes.map(capacityOf));
    const highCapacityNodes = nodes.filter(
      (node) => capacityOf(node) >= MIN_CAPACITY_SHARE * maxCapacity,
    );
    return highCapacityNodes.length >= minimum ? highCapacityNodes : nodes;
  }

  private isExcluded(node: NodeId): boolean {
    const until = this.excludedUntil.get(node);
    if (until === undefined) return false;
    if (this.options.clock.now() < until) return true;
    this.excludedUntil.delete(node);
    return false;
  }
}
