/**
 * Assigns each worker of a zone to a home node by rendezvous hashing (Thaler and Ravishankar, 1998).
 * Names are hashed once and mixed as numbers, since a zone may have thousands of workers.
 */
import { placementHash } from '../core/hashing.js';
import type { NodeId, NodeRecord, WorkerId } from '../core/identity.js';

/** A node with the hash of its name. */
interface ScoredNode {
  record: NodeRecord;
  readonly hash: number;
}

/** The node with the highest score for a worker. */
interface Home {
  readonly workerHash: number;
  node: ScoredNode;
  score: number;
}

/** Mixes two 32-bit hashes into one score (finalizer of MurmurHash3). */
function weightOf(workerHash: number, nodeHash: number): number {
  let mixed = Math.imul(workerHash ^ nodeHash, 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13) ^ workerHash, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Whether a node precedes the current home; names break ties. */
function isBetter(node: ScoredNode, score: number, home: Home): boolean {
  if (score !== home.score) return score > home.score;
  return node.record.node < home.node.record.node;
}

/** Homes of the workers of one zone, updated as nodes start and terminate. */
export class ZoneHomes {
  readonly #nodes = new Map<NodeId, ScoredNode>();
  readonly #homes = new Map<WorkerId, Home>();
  #source: readonly NodeRecord[] = [];

  /** Number of live nodes. */
  get nodeCount(): number {
    return this.#nodes.size;
  }

  /** Position of a node in the order of names; `undefined` where it is not live. */
  rankOf(node: NodeId): number | undefined {
    if (!this.#nodes.has(node)) return undefined;
    let rank = 0;
    for (const name of this.#nodes.keys()) if (name < node) rank += 1;
    return rank;
  }

  /** Applies the live nodes; returns whether any node or incarnation changed. */
  update(nodes: readonly NodeRecord[]): boolean {
    if (nodes === this.#source) return false;
    this.#source = nodes;
    const newest = newestIncarnations(nodes);
    const removed = this.#removeAbsent(newest);
    const added: ScoredNode[] = [];
    let restarted = false;
    for (const record of newest.values()) {
      const existing = this.#nodes.get(record.node);
      if (existing === undefined) added.push(this.#add(record));
      else if (existing.record.incarnation !== record.incarnation) restarted = true;
      if (existing !== undefined) existing.record = record;
    }
    if (removed.size > 0 || added.length > 0) this.#reassign(removed, added);
    return restarted || removed.size > 0 || added.length > 0;
  }

  /** The home of a worker; `undefined` where the zone has no live node. */
  homeOf(worker: WorkerId): NodeRecord | undefined {
    const cached = this.#homes.get(worker);
    if (cached !== undefined) return cached.node.record;
    const home = this.#findHome(placementHash(worker));
    if (home === undefined) return undefined;
    this.#homes.set(worker, home);
    return home.node.record;
  }

  /** Removes workers that are no longer in the machine list. */
  retain(exists: (worker: WorkerId) => boolean): void {
    for (const worker of this.#homes.keys()) if (!exists(worker)) this.#homes.delete(worker);
  }

  #add(record: NodeRecord): ScoredNode {
    const node = { record, hash: placementHash(record.node) };
    this.#nodes.set(record.node, node);
    return node;
  }

  #removeAbsent(newest: ReadonlyMap<NodeId, NodeRecord>): ReadonlySet<ScoredNode> {
    const removed = new Set<ScoredNode>();
    for (const [name, node] of this.#nodes) {
      if (newest.has(name)) continue;
      removed.add(node);
      this.#nodes.delete(name);
    }
    return removed;
  }

  #reassign(removed: ReadonlySet<ScoredNode>, added: readonly ScoredNode[]): void {
    for (const [worker, home] of this.#homes) {
      if (removed.has(home.node)) {
        const next = this.#findHome(home.workerHash);
        if (next === undefined) this.#homes.delete(worker);
        else this.#homes.set(worker, next);
        continue;
      }
      for (const node of added) replaceIfBetter(home, node);
    }
  }

  #findHome(workerHash: number): Home | undefined {
    let home: Home | undefined;
    for (const node of this.#nodes.values()) {
      if (home === undefined) home = { workerHash, node, score: weightOf(workerHash, node.hash) };
      else replaceIfBetter(home, node);
    }
    return home;
  }
}

function replaceIfBetter(home: Home, node: ScoredNode): void {
  const score = weightOf(home.workerHash, node.hash);
  if (!isBetter(node, score, home)) return;
  home.node = node;
  home.score = score;
}

function newestIncarnations(nodes: readonly NodeRecord[]): ReadonlyMap<NodeId, NodeRecord> {
  const newest = new Map<NodeId, NodeRecord>();
  for (const record of nodes) {
    const current = newest.get(record.node);
    if (current === undefined || current.incarnation < record.incarnation) {
      newest.set(record.node, record);
    }
  }
  return newest;
}
