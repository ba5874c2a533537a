/**
 * Pulls and pushes between nodes. A pull is held by the peer until it has something newer, then
 * answered with the content that is missing, the age of the peer's copy, and how long the pull
 * was held. Clocks are not synchronized, so an age is only taken over from an answer to a pull of
 * this node: the answer was made no earlier than the pull was sent plus the time it was held.
 */
import type { NodeId, NodeRecord } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { FeedCopy } from './feed-copy.js';
import type { ConfigurationFeedTiming, FeedEffectList } from './feed-effects.js';
import type { FeedTopology } from './feed-topology.js';
import type { ConfigurationFeedMessage } from './messages.js';

/** Pulls held for others at once; further ones are answered at once. */
const HELD_LIMIT = 64;

/** One in this many pulls from random peers goes to another zone. */
const FOREIGN_SHARE = 3;

type PullMessage = Extract<ConfigurationFeedMessage, { kind: 'pull' }>;
type AnswerMessage = Extract<ConfigurationFeedMessage, { kind: 'answer' }>;

interface OwnPull {
  readonly peer: NodeRecord;
  readonly sentAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
}

interface HeldPull {
  readonly from: NodeRecord;
  readonly message: PullMessage;
  readonly arrivedAt: Milliseconds;
}

/** Exchanges content and ages with other nodes. */
export class FeedExchange {
  private sequence = 0;
  private readonly pulls = new Map<number, OwnPull>();
  private readonly held = new Map<NodeId, HeldPull>();
  private nextRescueAt: Milliseconds = 0;
  private pushedRevision: Revision = 0;

  constructor(
    private readonly copy: FeedCopy,
    private readonly topology: FeedTopology,
    private readonly integer: (limit: number) => number,
    private readonly timing: ConfigurationFeedTiming,
    private readonly effects: FeedEffectList,
  ) {}

  /** Handles a message of a peer. */
  receive(from: NodeRecord, message: ConfigurationFeedMessage, now: Milliseconds): void {
    if (message.kind === 'pull') this.hold(from, message, now);
    if (message.kind === 'answer') this.takeAnswer(message, now);
    if (message.kind === 'push') {
      const { connected } = this.copy.take(message.content, message.revision);
      if (!connected) this.pull(from, 0, now);
    }
  }

  /** Gives up late pulls, starts those that are missing, and seeks help where the copy is stale. */
  tick(now: Milliseconds): void {
    this.giveUpPulls(now);
    this.keepPulling(now);
    const age = this.copy.age(now);
    if (age === null || age > this.timing.staleAge) this.rescue(now);
  }

  /** Answers held pulls that have something to gain, and pushes a new revision on. */
  settle(now: Milliseconds): void {
    this.pushNews();
    for (const [node, held] of this.held) {
      if (!this.isWorthAnswering(held, now)) continue;
      this.held.delete(node);
      this.answer(held, now);
    }
  }

  private keepPulling(now: Milliseconds): void {
    if (this.topology.isWatcher) {
      const watcher = this.pulls.size > 0 ? undefined : this.topology.randomForeignWatcher();
      if (watcher !== undefined) this.pull(watcher, this.timing.holdLimit, now);
      return;
    }
    for (const parent of this.topology.parents) {
      if (!this.isPullingFrom(parent)) this.pull(parent, this.timing.holdLimit, now);
    }
  }

  private isPullingFrom(peer: NodeRecord): boolean {
    for (const pull of this.pulls.values()) if (pull.peer.node === peer.node) return true;
    return false;
  }

  /** Pulls from a random peer, when the usual ones failed or the copy is stale. */
  private rescue(now: Milliseconds): void {
    if (now < this.nextRescueAt) return;
    this.nextRescueAt = now + this.timing.rescueInterval;
    const home = this.integer(FOREIGN_SHARE) > 0 ? this.topology.randomHomePeer() : undefined;
    const peer = home ?? this.topology.randomForeignPeer() ?? this.topology.randomHomePeer();
    if (peer !== undefined) this.pull(peer, 0, now);
  }

  private pull(peer: NodeRecord, holdLimit: Milliseconds, now: Milliseconds): void {
    this.sequence += 1;
    const giveUpAt = now + holdLimit + this.timing.answerMargin;
    this.pulls.set(this.sequence, { peer, sentAt: now, giveUpAt });
    const { revision } = this.copy;
    const age = this.copy.age(now);
    this.effects.send(peer, { kind: 'pull', sequence: this.sequence, revision, age, holdLimit });
  }

  private giveUpPulls(now: Milliseconds): void {
    for (const [sequence, pull] of this.pulls) {
      if (now < pull.giveUpAt) continue;
      this.pulls.delete(sequence);
      this.rescue(now);
    }
  }

  private takeAnswer(message: AnswerMessage, now: Milliseconds): void {
    const pull = this.pulls.get(message.sequence);
    if (pull === undefined) return;
    this.pulls.delete(message.sequence);
    const { connected } = this.copy.take(message.content, message.revision);
    if (!connected || message.age === null) return;
    const held = Math.min(Math.max(0, message.held), now - pull.sentAt);
    this.copy.noteFresh(pull.sentAt + held - Math.max(0, message.age));
  }

  private hold(from: NodeRecord, message: PullMessage, now: Milliseconds): void {
    const held = { from, message, arrivedAt: now };
    const isFull = this.held.size >= HELD_LIMIT && !this.held.has(from.node);
    if (isFull || this.isWorthAnswering(held, now)) this.answer(held, now);
    else this.held.set(from.node, held);
  }

  private isWorthAnswering(held: HeldPull, now: Milliseconds): boolean {
    const { message, arrivedAt } = held;
    if (now - arrivedAt >= Math.min(message.holdLimit, this.timing.holdLimit)) return true;
    if (this.copy.contentRevision > message.revision) return true;
    const freshAsOf = this.copy.freshAsOf;
    if (freshAsOf === null) return false;
    if (message.age === null) return true;
    return freshAsOf >= arrivedAt - message.age + this.timing.minimumGain;
  }

  private answer(held: HeldPull, now: Milliseconds): void {
    const { from, message, arrivedAt } = held;
    this.effects.send(from, {
      kind: 'answer',
      sequence: message.sequence,
      revision: this.copy.revision,
      age: this.copy.age(now),
      held: now - arrivedAt,
      content: this.copy.store.contentSince(message.revision),
    });
  }

  /** Passes a revision on once, as soon as it is known (infect and die). */
  private pushNews(): void {
    const previous = this.pushedRevision;
    if (this.copy.contentRevision <= previous) return;
    this.pushedRevision = this.copy.contentRevision;
    if (previous === 0) return;
    const content = this.copy.store.contentSince(previous);
    const message = { kind: 'push', revision: this.copy.revision, content } as const;
    for (let sent = 0; sent < this.timing.pushFanOut; sent += 1) {
      const peer = this.topology.randomHomePeer();
      if (peer !== undefined) this.effects.send(peer, message);
    }
    const foreign = this.topology.isWatcher ? this.topology.randomForeignPeer() : undefined;
    if (foreign !== undefined) this.effects.send(foreign, message);
  }
}
