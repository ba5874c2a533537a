/**
 * Which nodes run jobs. A few nodes of the fleet, by rendezvous hash among its strongest machines,
 * own all jobs: what they have sent to the workers is then known in few places, connections to
 * workers are used again, and any node finds the owner of a job by its id without asking the store.
 * Where zones serve their own callers, the owners of a zone run the jobs that were handed in there,
 * so that a zone that is cut off goes on with them. Where a fleet spans regions, the owners of a
 * region do: their items, texts and answers then stay off the link between the regions.
 *
 * Two nodes that see different fleets may name different owners; the commit on the job's head
 * decides, and whoever asked the wrong node reads the head.
 */
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { MayHold } from '../placement/job-residency.js';
import type { Localities, LocalityName } from '../placement/locality.js';
import type { Clock } from '../serving/clock.js';

/** Key under which nodes are ordered as owners of jobs. */
const OWNERS_KEY = 'job-owners';

/** Owners at least, so that the loss of one leaves most jobs running. */
const FEWEST_OWNERS = 3;

/**
 * Owners of a zone or region that serves its own callers. One node that runs all jobs there knows of
 * all their items, so that they do not compete for places at workers; where it does not answer, the
 * next in order takes its place.
 */
const FEWEST_OWNERS_IN_LOCALITY = 1;

/**
 * Nodes of the fleet for each owner. The smallest machines carry some 40 items a second; a fleet of
 * 165 nodes is asked for about 100.
 */
const NODES_PER_OWNER = 40;

/** Machines with this share of the strongest one's processor may own jobs, if they are enough. */
const STRONG_SHARE = 0.75;

/** Time for which a node that did not answer is not asked to own jobs. */
const SILENCE_PENALTY: Milliseconds = 3_000;

/** Owners that a job is offered to before the node that took the call runs it itself. */
const OFFERS = 2;

/** The localities of the fleet, and in which zone each node is as far as this one knows. */
export interface LocalityView extends Localities {
  readonly zoneOf: (node: NodeId) => ZoneName | undefined;
}

/** Options of {@link JobPlacement}. */
export interface JobPlacementOptions {
  /** The zones or regions that each run the jobs of their own callers. @default any node runs any job */
  readonly localities?: LocalityView | undefined;
  readonly liveNodes: () => readonly NodeId[];
  /** Processor share of a node's machine. */
  readonly capacityOf: (node: NodeId) => number;
  readonly clock: Pick<Clock, 'now'>;
}

/** Any node may own a job. */
const ANY_NODE: MayHold = () => true;

/** Names the owners of jobs. */
export class JobPlacement {
  private readonly avoidedUntil = new Map<NodeId, Milliseconds>();

  constructor(private readonly options: JobPlacementOptions) {}

  /** Whether each zone runs the jobs of its own callers, also while it is cut off. */
  get isByZone(): boolean {
    return this.options.localities?.kind === 'zone';
  }

  /** Whether each zone or each region runs the jobs of its own callers. */
  get isByLocality(): boolean {
    return this.options.localities !== undefined;
  }

  /** Nodes that run jobs, as this node sees the fleet. */
  owners(): NodeId[] {
    const { localities } = this.options;
    const nodes = this.reachableNodes();
    if (localities === undefined) return this.ownersAmong(nodes, FEWEST_OWNERS);
    return this.localitiesFrom(localities.own).flatMap((name) => this.ownersIn(name));
  }

  /**
   * The owners in the order in which they are to run a job. Where zones or regions serve their own
   * callers, those of the job's come first; a zone that is not told is taken for this node's. A job
   * that not every node may hold has its owners among those that may.
   */
  ownersOf(job: string, zone?: ZoneName, mayOwn: MayHold = ANY_NODE): NodeId[] {
    const { localities } = this.options;
    if (localities === undefined) {
      const owners = this.ownersAmong(this.reachableNodes().filter(mayOwn), FEWEST_OWNERS);
      return rendezvousOrder(job, owners, (node) => node);
    }
    const first = zone === undefined ? localities.own : localities.of(zone);
    return this.localitiesFrom(first).flatMap((name) => this.inTurnIn(name, job).filter(mayOwn));
  }

  /**
   * The owners that a job is offered to where a caller hands it in at this node. A zone that serves its own
   * callers hands no job to another one: both could be cut off from each other with the job at both.
   * A region does where its own nodes do not take it; the store tells whose the job is.
   */
  offersFor(job: string, mayOwn: MayHold = ANY_NODE): NodeId[] {
    const { localities } = this.options;
    if (localities === undefined) return this.ownersOf(job, undefined, mayOwn).slice(0, OFFERS);
    const near = this.inTurnIn(localities.own, job);
    const own = near.slice(0, OFFERS);
    if (localities.kind === 'zone') return own;
    const others = this.ownersOf(job, undefined, mayOwn).filter((node) => !near.includes(node));
    return [...own, ...others.slice(0, 1)];
  }

  /**
   * The nodes that look for the jobs of one that left a zone: the owners of its region, if it has
   * any left, so that its jobs stay there.
   */
  successorsIn(zone: ZoneName): NodeId[] {
    const { localities } = this.options;
    if (localities?.kind !== 'region') return this.owners();
    const near = this.ownersIn(localities.of(zone));
    return near.length > 0 ? near : this.owners();
  }

  /** Whether another region than this node's runs the jobs that are handed in at a zone. */
  isOfOtherRegion(zone: ZoneName | undefined): boolean {
    const { localities } = this.options;
    if (localities?.kind !== 'region' || zone === undefined) return false;
    return localities.of(zone) !== localities.own;
  }

  /** The owners, of any zone, that a job is offered to where this node must not hold it. */
  offersElsewhere(job: string, mayOwn: MayHold): NodeId[] {
    return rendezvousOrder(job, this.ownersOf(job, undefined, mayOwn), (node) => node);
  }

  /** A node did not answer: others run its jobs for a while. */
  noteUnresponsive(node: NodeId): void {
    this.avoidedUntil.set(node, this.options.clock.now() + SILENCE_PENALTY);
  }

  private reachableNodes(): NodeId[] {
    return this.options.liveNodes().filter((node) => !this.isAvoided(node));
  }

  private ownersIn(locality: LocalityName, fewest = FEWEST_OWNERS_IN_LOCALITY): NodeId[] {
    const nodes = this.reachableNodes().filter((node) => this.localityOf(node) === locality);
    return this.ownersAmong(nodes, fewest);
  }

  /**
   * The owners of a locality in the order in which they are to run a job, and for a region the node
   * that is to take their place: a job that its owner gives up or loses then stays in its region.
   */
  private inTurnIn(locality: LocalityName, job: string): NodeId[] {
    const owners = this.ownersIn(locality);
    const inOrder = rendezvousOrder(job, owners, (node) => node);
    if (this.isByZone) return inOrder;
    const further = this.ownersIn(locality, owners.length + 1);
    const [next] = further.filter((node) => !owners.includes(node));
    return next === undefined ? inOrder : [...inOrder, next];
  }

  /** All localities with live nodes, from a given one on. */
  private localitiesFrom(first: LocalityName): LocalityName[] {
    const names = new Set(this.options.liveNodes().map((node) => this.localityOf(node)));
    names.delete(first);
    return [first, ...[...names].filter((name) => name !== undefined).sort()];
  }

  private localityOf(node: NodeId): LocalityName | undefined {
    const { localities } = this.options;
    const zone = localities?.zoneOf(node);
    return zone === undefined ? undefined : localities?.of(zone);
  }

  private ownersAmong(nodes: readonly NodeId[], fewest: number): NodeId[] {
    const count = Math.max(fewest, Math.ceil(nodes.length / NODES_PER_OWNER));
    const strong = this.strongest(nodes, fewest);
    return rendezvousOrder(OWNERS_KEY, strong, (node) => node).slice(0, count);
  }

  /** The strongest machines; all where these are not enough. */
  private strongest(nodes: readonly NodeId[], enough: number): readonly NodeId[] {
    const { capacityOf } = this.options;
    const most = Math.max(0, ...nodes.map(capacityOf));
    const strong = nodes.filter((node) => capacityOf(node) >= STRONG_SHARE * most);
    return strong.length >= enough ? strong : nodes;
  }

  private isAvoided(node: NodeId): boolean {
    const until = this.avoidedUntil.get(node);
    if (until === undefined) return false;
    if (this.options.clock.now() < until) return true;
    this.avoidedUntil.delete(node);
    return false;
  }
}
