/**
 * Which nodes run jobs. A few nodes of the fleet, by rendezvous hash among its strongest machines,
 * own all jobs: what they have sent to the workers is then known in few places, connections to
 * workers are used again, and any node finds the owner of a job by its id without asking the store. Two nodes that see different
 * fleets may name different owners; the commit on the job's head decides, and whoever asked the
 * wrong node reads the head.
 */
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';

/** Key under which nodes are ordered as owners of jobs. */
const OWNERS_KEY = 'job-owners';

/** Owners at least, so that the loss of one leaves most jobs running. */
const FEWEST_OWNERS = 3;

/**
 * Nodes of the fleet for each owner. The smallest machines carry some 40 items a second; a fleet of
 * 165 nodes is asked for about 100.
 */
const NODES_PER_OWNER = 40;

/** Machines with this share of the strongest one's processor may own jobs, if they are enough. */
const STRONG_SHARE = 0.75;

/** Time for which a node that did not answer is not asked to own jobs. */
const SILENCE_PENALTY: Milliseconds = 3_000;

/** Options of {@link JobPlacement}. */
export interface JobPlacementOptions {
  readonly liveNodes: () => readonly NodeId[];
  /** Processor share of a node's machine. */
  readonly capacityOf: (node: NodeId) => number;
  readonly clock: Pick<Clock, 'now'>;
}

/** Names the owners of jobs. */
export class JobPlacement {
  private readonly avoidedUntil = new Map<NodeId, Milliseconds>();

  constructor(private readonly options: JobPlacementOptions) {}

  /** Nodes that run jobs, as this node sees the fleet. */
  owners(): NodeId[] {
    const { liveNodes } = this.options;
    const nodes = liveNodes().filter((node) => !this.isAvoided(node));
    const count = Math.max(FEWEST_OWNERS, Math.ceil(nodes.length / NODES_PER_OWNER));
    return rendezvousOrder(OWNERS_KEY, this.strongest(nodes), (node) => node).slice(0, count);
  }

  /** The owners in the order in which they are to run a job. */
  ownersOf(job: string): NodeId[] {
    return rendezvousOrder(job, this.owners(), (node) => node);
  }

  /** A node did not answer: others run its jobs for a while. */
  noteSilent(node: NodeId): void {
    this.avoidedUntil.set(node, this.options.clock.now() + SILENCE_PENALTY);
  }

  /** The strongest machines; all where these are too few to lose one. */
  private strongest(nodes: readonly NodeId[]): readonly NodeId[] {
    const { capacityOf } = this.options;
    const most = Math.max(0, ...nodes.map(capacityOf));
    const strong = nodes.filter((node) => capacityOf(node) >= STRONG_SHARE * most);
    return strong.length >= FEWEST_OWNERS ? strong : nodes;
  }

  private isAvoided(node: NodeId): boolean {
    const until = this.avoidedUntil.get(node);
    if (until === undefined) return false;
    if (this.options.clock.now() < until) return true;
    this.avoidedUntil.delete(node);
    return false;
  }
}
