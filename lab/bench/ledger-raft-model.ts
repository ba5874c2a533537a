/**
 * A leader per shard by Raft (Ongaro and Ousterhout, 2014): terms, votes, heartbeats and
 * replication of log entries. The log is kept as its length and last term, which is all that
 * elections and commits depend on while no entry conflicts.
 */
import { type ModelledDesign, ModelNetwork } from './ledger-model-network.js';

const HEARTBEAT_MILLISECONDS = 50;
const ELECTION_LEAST_MILLISECONDS = 150;
const ELECTION_SPREAD_MILLISECONDS = 150;

interface RaftNode {
  readonly id: number;
  role: 'follower' | 'candidate' | 'leader';
  term: number;
  votedIn: number;
  votes: number;
  lastTerm: number;
  length: number;
  electionAt: number;
  /** Number of the running timer; a newer one replaces it. */
  timer: number;
}

interface PendingWrite {
  readonly index: number;
  readonly term: number;
  acknowledgements: number;
  readonly done: () => void;
}

/** One group of the Raft design. */
export class RaftModel implements ModelledDesign {
  readonly network: ModelNetwork;
  readonly #nodes: RaftNode[];
  readonly #pending = new Map<string, PendingWrite>();

  constructor(size: number, seed: number) {
    this.network = new ModelNetwork(size, seed);
    this.#nodes = Array.from({ length: size }, (_, id) => ({
      id,
      role: 'follower',
      term: 0,
      votedIn: 0,
      votes: 0,
      lastTerm: 0,
      length: 0,
      electionAt: 0,
      timer: 0,
    }));
    for (const node of this.#nodes) {
      this.#postponeElection(node);
      this.#watch(node);
    }
  }

  servingNode(): number | undefined {
    const leaders = this.#nodes.filter(
      (node) => node.role === 'leader' && this.network.isUp[node.id] === true,
    );
    leaders.sort((left, right) => right.term - left.term);
    return leaders[0]?.id;
  }

  write(payload: string, done: () => void): boolean {
    const leader = this.#nodes[this.servingNode() ?? -1];
    if (leader === undefined) return false;
    leader.length += 1;
    leader.lastTerm = leader.term;
    const pending = { index: leader.length, term: leader.term, acknowledgements: 1, done };
    this.#pending.set(`${pending.term}/${pending.index}`, pending);
    this.#append(leader, payload, pending);
    return true;
  }

  #watch(node: RaftNode): void {
    const { queue, isUp } = this.network;
    if (isUp[node.id] !== true) return;
    node.timer += 1;
    const { timer } = node;
    const isLeader = node.role === 'leader';
    if (isLeader) this.#append(node, null, undefined);
    else if (queue.now >= node.electionAt) this.#stand(node);
    const wait = isLeader ? HEARTBEAT_MILLISECONDS : Math.max(1, node.electionAt - queue.now);
    queue.after(wait, () => {
      if (node.timer === timer) this.#watch(node);
    });
  }

  #postponeElection(node: RaftNode): void {
    const spread = this.network.random.fraction() * ELECTION_SPREAD_MILLISECONDS;
    node.electionAt = this.network.queue.now + ELECTION_LEAST_MILLISECONDS + spread;
  }

  #stand(node: RaftNode): void {
    node.role = 'candidate';
    node.term += 1;
    node.votedIn = node.term;
    node.votes = 1;
    this.#postponeElection(node);
    const { term, lastTerm, length } = node;
    const request = { kind: 'request-vote', term, candidate: node.id, lastTerm, length };
    for (const other of this.network.others(node.id)) {
      this.network.send(other, request, () => this.#vote(this.#node(other), node, request));
    }
  }

  #vote(
    voter: RaftNode,
    candidate: RaftNode,
    request: { term: number; lastTerm: number; length: number },
  ): void {
    this.#follow(voter, request.term);
    const isCurrent =
      request.lastTerm > voter.lastTerm ||
      (request.lastTerm === voter.lastTerm && request.length >= voter.length);
    if (voter.term !== request.term || voter.votedIn === request.term || !isCurrent) return;
    voter.votedIn = request.term;
    this.#postponeElection(voter);
    const vote = { kind: 'vote', term: request.term, voter: voter.id };
    this.network.send(candidate.id, vote, () => {
      if (candidate.role !== 'candidate' || candidate.term !== request.term) return;
      candidate.votes += 1;
      if (candidate.votes <= this.network.size / 2) return;
      candidate.role = 'leader';
      this.#watch(candidate);
    });
  }

  #append(leader: RaftNode, payload: string | null, pending: PendingWrite | undefined): void {
    const { term, length } = leader;
    const request = { kind: 'append', term, leader: leader.id, previous: length - 1, payload };
    for (const other of this.network.others(leader.id)) {
      this.network.send(other, request, () => {
        const follower = this.#node(other);
        if (follower.term > term) return;
        this.#follow(follower, term);
        this.#postponeElection(follower);
        follower.length = length;
        follower.lastTerm = leader.lastTerm;
        const answer = { kind: 'appended', term, follower: other, index: length };
        this.network.send(leader.id, answer, () => this.#acknowledge(pending));
      });
    }
  }

  #acknowledge(pending: PendingWrite | undefined): void {
    if (pending === undefined) return;
    pending.acknowledgements += 1;
    if (pending.acknowledgements !== Math.floor(this.network.size / 2) + 1) return;
    this.#pending.delete(`${pending.term}/${pending.index}`);
    pending.done();
  }

  #follow(node: RaftNode, term: number): void {
    if (term < node.term || (term === node.term && node.role === 'leader')) return;
    if (term > node.term || node.role === 'candidate') node.role = 'follower';
    node.term = term;
  }

  #node(id: number): RaftNode {
    return this.#nodes[id] as RaftNode;
  }
}
