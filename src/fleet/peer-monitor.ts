/**
 * Failure detector: probes a few other nodes directly, so that a failed one, or one that does not
 * reach the store, is noticed long before its lease expires. Each node probes its successors on a
 * hash ring of the nodes of its region.
 *
 * A suspicion only starts a takeover of jobs. A node that is suspected wrongly loses a commit and
 * stops, so correctness does not depend on suspicions.
 */
import { Subject } from 'rxjs';
import { placementHash } from '../core/hashing.js';
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { JobOwner } from '../jobs/job-records.js';
import type { PeerPort } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetRegistry } from './fleet-registry.js';

const MONITORED_NODE_COUNT = 2;

/** Interval between probes of a node, and the timeout of each. */
const PROBE_INTERVAL: Milliseconds = 300;
const PROBE_TIMEOUT: Milliseconds = 400;

/** Interval between probes of a node that is healthy and does not need a short lease. */
const IDLE_PROBE_INTERVAL: Milliseconds = 1_500;

/** Consecutive unanswered probes after which a node is suspected. */
const UNANSWERED_PROBE_LIMIT = 3;
/** Consecutive refused connections after which a node is suspected: its process has terminated. */
const REFUSED_PROBE_LIMIT = 2;

/** Consecutive answers that report an unreachable store after which a node is suspected. */
const STORE_UNREACHABLE_LIMIT = 3;

/** Delay with which other nodes may notice that the store is reachable again. */
const STORE_RECOVERY_TIME: Milliseconds = 2_000;

export interface PeerMonitorOptions {
  readonly fleet: FleetRegistry;
  readonly peers: PeerPort;
  readonly self: JobOwner;
  readonly clock: Pick<Clock, 'now'>;
  readonly log: DecisionLog;
  /** Whether a node is in this node's region and may be monitored. @default all are */
  readonly isInSameRegion?: (node: NodeId) => boolean;
}

/** An incarnation that stopped answering, or that answers and does not reach the store. */
export interface Suspicion {
  readonly owner: JobOwner;
  readonly ownerAnswers: boolean;
  /** Number of nodes between this one and the suspected one on the ring; these act first. */
  readonly rank: number;
}

interface MonitoredNode {
  readonly owner: JobOwner;
  unansweredProbes: number;
  refusedProbes: number;
  storeUnreachableAnswers: number;
  isSuspected: boolean;
  isProbing: boolean;
  /** Time of the next probe, by the steady clock. */
  nextProbeAt: Milliseconds;
}

/** Probes the monitored nodes and emits suspicions. */
export class PeerMonitor {
  /** Incarnations that became suspected. */
  readonly suspicions = new Subject<Suspicion>();
  private readonly monitored = new Map<NodeId, MonitoredNode>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerMonitorOptions) {}

  start(): void {
    this.timer = setInterval(() => this.probeDue(), PROBE_INTERVAL);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Whether an incarnation of a node is suspected. */
  isSuspected(owner: JobOwner): boolean {
    const monitored = this.monitored.get(owner.node);
    return monitored?.owner.incarnation === owner.incarnation && monitored.isSuspected;
  }

  private probeDue(): void {
    const targetNodes = this.targets();
    for (const node of this.monitored.keys())
      if (!targetNodes.includes(node)) this.monitored.delete(node);
    for (const node of targetNodes) {
      const owner = this.options.fleet.incarnationOf(node);
      const address = this.options.fleet.addressOf(node);
      if (owner === undefined || address === undefined) continue;
      const monitored = this.monitoredNode(owner);
      const isDue = this.options.clock.now() >= monitored.nextProbeAt;
      if (isDue && !monitored.isProbing) void this.probe(monitored, address);
    }
  }

  private monitoredNode(owner: JobOwner): MonitoredNode {
    const existing = this.monitored.get(owner.node);
    if (existing?.owner.incarnation === owner.incarnation) return existing;
    const counts = { unansweredProbes: 0, refusedProbes: 0, storeUnreachableAnswers: 0 };
    const monitored = { owner, ...counts, isSuspected: false, isProbing: false, nextProbeAt: 0 };
    this.monitored.set(owner.node, monitored);
    return monitored;
  }

  private async probe(monitored: MonitoredNode, address: string): Promise<void> {
    monitored.isProbing = true;
    const { owner } = monitored;
    const outcome = await this.options.peers.request(
      address,
      { kind: 'probe', owner },
      PROBE_TIMEOUT,
    );
    monitored.isProbing = false;
    if (outcome.kind === 'unsent') return;
    const isAlive = outcome.kind === 'answered' && outcome.answer.isAlive;
    const isOtherIncarnation = outcome.kind === 'answered' && !outcome.answer.isAlive;
    if (isAlive) {
      monitored.unansweredProbes = 0;
      monitored.refusedProbes = 0;
      const { hasDuties, reachesStore } = outcome.answer;
      const isIdle = !hasDuties && reachesStore;
      // Half an interval less, as timer rounds are a little late.
      const delay = isIdle ? IDLE_PROBE_INTERVAL - PROBE_INTERVAL / 2 : 0;
      monitored.nextProbeAt = this.options.clock.now() + delay;
      this.noteStoreReachability(monitored, reachesStore);
      return;
    }
    monitored.unansweredProbes += 1;
    if (outcome.kind === 'refused') monitored.refusedProbes += 1;
    const isTerminated = isOtherIncarnation || monitored.refusedProbes >= REFUSED_PROBE_LIMIT;
    if (isTerminated || monitored.unansweredProbes >= UNANSWERED_PROBE_LIMIT)
      this.suspect(monitored, outcome.kind, false);
  }

  private noteStoreReachability(monitored: MonitoredNode, reachesStore: boolean): void {
    const isUnreachableThereOnly =
      !reachesStore && !this.options.fleet.wasStoreUnreachableWithin(STORE_RECOVERY_TIME);
    monitored.storeUnreachableAnswers = isUnreachableThereOnly
      ? monitored.storeUnreachableAnswers + 1
      : 0;
    if (monitored.storeUnreachableAnswers >= STORE_UNREACHABLE_LIMIT)
      this.suspect(monitored, 'cut-off', true);
    else if (reachesStore) this.clearSuspicion(monitored);
  }

  private suspect(monitored: MonitoredNode, cause: string, ownerAnswers: boolean): void {
    if (monitored.isSuspected || this.monitored.get(monitored.owner.node) !== monitored) return;
    monitored.isSuspected = true;
    this.options.log.state('node-suspected', { peer: monitored.owner.node, cause });
    const rank = Math.max(0, this.targets().indexOf(monitored.owner.node));
    this.suspicions.next({ owner: monitored.owner, ownerAnswers, rank });
  }

  private clearSuspicion(monitored: MonitoredNode): void {
    if (!monitored.isSuspected) return;
    monitored.isSuspected = false;
    this.options.log.state('node-trusted', { peer: monitored.owner.node });
  }

  /** The successors of this node on the ring of hashed names. */
  private targets(): NodeId[] {
    const { isInSameRegion = () => true } = this.options;
    const self = this.options.self.node;
    const start = placementHash(self);
    const otherNodes = this.options.fleet
      .liveNodes()
      .filter((node) => node !== self && isInSameRegion(node));
    const positioned = otherNodes.map((node) => ({
      node,
      position: (placementHash(node) - start + RING_SIZE) % RING_SIZE,
    }));
    positioned.sort((left, right) => left.position - right.position);
    return positioned.slice(0, MONITORED_NODE_COUNT).map(({ node }) => node);
  }
}

/** Hashes are in `[0, 2^32)`. */
const RING_SIZE = 2 ** 32;
