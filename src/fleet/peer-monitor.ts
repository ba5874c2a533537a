/**
 * Watches a few other nodes by asking them directly, so that a dead or frozen one, or one that does
 * not reach the store, is noticed long before its lease runs out. Each node is watched by the nodes that follow it on a ring of names;
 * the cost for one node therefore does not grow with the fleet. A region is a ring of its own: a link
 * between regions that is cut makes nobody suspect all nodes beyond it.
 *
 * A suspicion only lets jobs be taken over; a node that is suspected wrongly loses a commit and
 * stops, so nothing rests on it being right.
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

/** Nodes that each node watches. */
const WATCHED_NODES = 2;

/** Time between two probes of a node, and for the answer to one. */
const PROBE_INTERVAL: Milliseconds = 300;
const PROBE_LIMIT: Milliseconds = 400;

/** Time between two probes of a node that answers and whom nobody would miss at once. */
const RELAXED_PROBE_INTERVAL: Milliseconds = 1_500;

/** Probes in a row without an answer that make a suspicion. */
const SILENT_LIMIT = 3;
/** The same where the connection is refused, as the process is then gone. */
const REFUSED_LIMIT = 2;

/** Answers in a row that tell of a store out of reach, while it answers here. */
const CUT_OFF_LIMIT = 3;

/** After the store was silent here too, others may need so long to hear of its return. */
const RETURN_TIME: Milliseconds = 2_000;

/** Options of {@link PeerMonitor}. */
export interface PeerMonitorOptions {
  readonly fleet: FleetRegistry;
  readonly peers: PeerPort;
  readonly self: JobOwner;
  readonly clock: Pick<Clock, 'now'>;
  readonly log: DecisionLog;
  /** Whether a node is of this node's region, and so may be watched. @default all are */
  readonly isInSameRegion?: (node: NodeId) => boolean;
}

/** A life of a node that fell silent, or answers and does not reach the store. */
export interface Suspicion {
  readonly owner: JobOwner;
  readonly ownerAnswers: boolean;
  /** Nodes between the suspected one and this one on the ring; they act first. */
  readonly rank: number;
}

interface WatchedNode {
  readonly owner: JobOwner;
  silent: number;
  refused: number;
  cutOff: number;
  isSuspected: boolean;
  isAsked: boolean;
  /** Steady time of the next probe. */
  nextProbeAt: Milliseconds;
}

/** Probes the nodes that this one watches. */
export class PeerMonitor {
  /** Lives of nodes that fell silent. */
  readonly suspicions = new Subject<Suspicion>();
  private readonly watched = new Map<NodeId, WatchedNode>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerMonitorOptions) {}

  /** Begins to probe. */
  start(): void {
    this.timer = setInterval(() => this.round(), PROBE_INTERVAL);
  }

  /** Probes no more. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Whether this life of a node counts as dead here. */
  isSuspected(owner: JobOwner): boolean {
    const watched = this.watched.get(owner.node);
    return watched?.owner.incarnation === owner.incarnation && watched.isSuspected;
  }

  private round(): void {
    const targets = this.targets();
    for (const node of this.watched.keys()) if (!targets.includes(node)) this.watched.delete(node);
    for (const node of targets) {
      const owner = this.options.fleet.incarnationOf(node);
      const address = this.options.fleet.addressOf(node);
      if (owner === undefined || address === undefined) continue;
      const watched = this.watchedNode(owner);
      const isDue = this.options.clock.now() >= watched.nextProbeAt;
      if (isDue && !watched.isAsked) void this.probe(watched, address);
    }
  }

  private watchedNode(owner: JobOwner): WatchedNode {
    const known = this.watched.get(owner.node);
    if (known?.owner.incarnation === owner.incarnation) return known;
    const counts = { silent: 0, refused: 0, cutOff: 0 };
    const fresh = { owner, ...counts, isSuspected: false, isAsked: false, nextProbeAt: 0 };
    this.watched.set(owner.node, fresh);
    return fresh;
  }

  private async probe(watched: WatchedNode, address: string): Promise<void> {
    watched.isAsked = true;
    const { owner } = watched;
    const outcome = await this.options.peers.request(
      address,
      { kind: 'probe', owner },
      PROBE_LIMIT,
    );
    watched.isAsked = false;
    const isAlive = outcome.kind === 'answered' && outcome.answer.isAlive;
    const isOtherLife = outcome.kind === 'answered' && !outcome.answer.isAlive;
    if (isAlive) {
      watched.silent = 0;
      watched.refused = 0;
      const { hasDuties, reachesStore } = outcome.answer;
      const isQuiet = !hasDuties && reachesStore;
      // Half an interval early: rounds come a little late.
      const pause = isQuiet ? RELAXED_PROBE_INTERVAL - PROBE_INTERVAL / 2 : 0;
      watched.nextProbeAt = this.options.clock.now() + pause;
      this.noteStoreReach(watched, reachesStore);
      return;
    }
    watched.silent += 1;
    if (outcome.kind === 'refused') watched.refused += 1;
    const isGone = isOtherLife || watched.refused >= REFUSED_LIMIT;
    if (isGone || watched.silent >= SILENT_LIMIT) this.suspect(watched, outcome.kind, false);
  }

  private noteStoreReach(watched: WatchedNode, reachesStore: boolean): void {
    const isAlone = !reachesStore && !this.options.fleet.wasStoreUnreachableWithin(RETURN_TIME);
    watched.cutOff = isAlone ? watched.cutOff + 1 : 0;
    if (watched.cutOff >= CUT_OFF_LIMIT) this.suspect(watched, 'cut-off', true);
    else if (reachesStore) this.clear(watched);
  }

  private suspect(watched: WatchedNode, cause: string, ownerAnswers: boolean): void {
    if (watched.isSuspected || this.watched.get(watched.owner.node) !== watched) return;
    watched.isSuspected = true;
    this.options.log.state('node-suspected', { peer: watched.owner.node, cause });
    const rank = Math.max(0, this.targets().indexOf(watched.owner.node));
    this.suspicions.next({ owner: watched.owner, ownerAnswers, rank });
  }

  private clear(watched: WatchedNode): void {
    if (!watched.isSuspected) return;
    watched.isSuspected = false;
    this.options.log.state('node-trusted', { peer: watched.owner.node });
  }

  /** The nodes that follow this one on the ring of hashed names. */
  private targets(): NodeId[] {
    const { isInSameRegion: isNear = () => true } = this.options;
    const self = this.options.self.node;
    const start = placementHash(self);
    const others = this.options.fleet.liveNodes().filter((node) => node !== self && isNear(node));
    const placed = others.map((node) => ({
      node,
      place: (placementHash(node) - start + RING_SIZE) % RING_SIZE,
    }));
    placed.sort((left, right) => left.place - right.place);
    return placed.slice(0, WATCHED_NODES).map(({ node }) => node);
  }
}

/** Hashes lie in `[0, 2^32)`. */
const RING_SIZE = 2 ** 32;
