/**
 * The child's side: keeps a pull open at each parent and fetches what differs. Clocks are not
 * synchronized: an answer was made no earlier than its pull was sent plus the time it was held,
 * so the parent's content held as of `sent + held - age`.
 */
import type { FeedTopology } from '../config-feed/feed-topology.js';
import type { NodeRecord } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { BucketFetch } from './bucket-fetch.js';
import { areDigests } from './machine-content.js';
import type { MachineCopy } from './machine-copy.js';
import type { MachineFeedEffectList, MachineFeedTiming } from './machine-feed-effects.js';
import type { MachineFeedMessage } from './messages.js';

type AnswerMessage = Extract<MachineFeedMessage, { kind: 'answer' }>;
type PageMessage = Extract<MachineFeedMessage, { kind: 'page' }>;

interface OwnPull {
  readonly peer: NodeRecord;
  readonly sentAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
}

/** Pulls of this node. */
export class OwnPulls {
  private sequence = 0;
  private readonly pulls = new Map<number, OwnPull>();
  private fetch: BucketFetch | null = null;
  private nextRescueAt: Milliseconds = 0;
  private answeredAt: Milliseconds | null = null;

  constructor(
    private readonly copy: MachineCopy,
    private readonly topology: FeedTopology,
    private readonly timing: MachineFeedTiming,
    private readonly effects: MachineFeedEffectList,
  ) {}

  /** Whether no peer has answered with content for longer than the silence limit. */
  isSilent(now: Milliseconds): boolean {
    this.answeredAt ??= now;
    return now - this.answeredAt > this.timing.silenceLimit;
  }

  /** Starts the count of silence anew, as there was nobody to answer until now. */
  noteCompany(now: Milliseconds): void {
    this.answeredAt = now;
  }

  /** Gives up what is late and starts the pulls that are missing. */
  tick(now: Milliseconds): void {
    for (const [sequence, pull] of this.pulls) {
      if (now >= pull.giveUpAt) this.pulls.delete(sequence);
    }
    if (this.fetch !== null && now - this.fetch.sentAt >= this.timing.pageTimeout) {
      this.request(this.fetch, now);
    }
    this.keepPulling(now);
    const age = this.copy.age(now);
    if (age === null || age > this.timing.rescueAge || this.isSilent(now)) this.rescue(now);
  }

  /** Takes in the answer to a pull or, where the parent's content has changed, to a fetch. */
  takeAnswer(from: NodeRecord, message: AnswerMessage, now: Milliseconds): void {
    const sentAt = this.sentAtOf(message.sequence);
    if (sentAt === null) return;
    this.pulls.delete(message.sequence);
    const answersFetch = this.fetch?.sequence === message.sequence;
    const { hash, age, digests } = message;
    if (hash === null || age === null) return;
    this.answeredAt = now;
    const held = Math.min(Math.max(0, message.held), now - sentAt);
    const asOf = sentAt + held - Math.max(0, age);
    if (hash === this.copy.content?.hash) {
      this.copy.noteFresh(asOf);
      if (answersFetch) this.fetch = null;
      return;
    }
    if (this.fetch !== null && !answersFetch) return;
    const isUseful = digests !== null && areDigests(digests) && this.copy.isOlderThan(asOf);
    if (!isUseful) {
      this.fetch = null;
      return;
    }
    const target = { parent: from, hash, digests, asOf };
    this.fetch = new BucketFetch(target, this.copy.content?.buckets ?? [], this.fetch);
    this.proceed(this.fetch, now);
  }

  /** Takes in buckets of the fetch. */
  takePage(message: PageMessage, now: Milliseconds): void {
    if (this.fetch?.sequence !== message.sequence) return;
    this.answeredAt = now;
    this.fetch.take(message.buckets);
    this.proceed(this.fetch, now);
  }

  private proceed(fetch: BucketFetch, now: Milliseconds): void {
    const content = fetch.content();
    if (content === null) {
      this.request(fetch, now);
      return;
    }
    this.fetch = null;
    this.copy.take(content, fetch.target.asOf);
    // Pulls that name the former content would be answered with what is known by now.
    this.pulls.clear();
    this.keepPulling(now);
  }

  private request(fetch: BucketFetch, now: Milliseconds): void {
    if (fetch.attempts >= this.timing.pageAttempts) {
      this.fetch = null;
      return;
    }
    fetch.attempts += 1;
    fetch.sentAt = now;
    this.sequence += 1;
    fetch.sequence = this.sequence;
    const { hash, parent } = fetch.target;
    const { sequence } = fetch;
    this.effects.send(parent, { kind: 'fetch', sequence, hash, buckets: fetch.wanted });
  }

  private sentAtOf(sequence: number): Milliseconds | null {
    if (this.fetch?.sequence === sequence) return this.fetch.sentAt;
    return this.pulls.get(sequence)?.sentAt ?? null;
  }

  /** Pauses while a fetch runs, as a pull would be answered with the same news again. */
  private keepPulling(now: Milliseconds): void {
    if (this.fetch !== null) return;
    for (const parent of this.topology.parents) {
      if (!this.isPullingFrom(parent)) this.pull(parent, this.timing.holdLimit, now);
    }
  }

  private isPullingFrom(peer: NodeRecord): boolean {
    for (const pull of this.pulls.values()) if (pull.peer.node === peer.node) return true;
    return false;
  }

  private rescue(now: Milliseconds): void {
    if (now < this.nextRescueAt) return;
    this.nextRescueAt = now + this.timing.rescueInterval;
    const peer = this.topology.randomHomePeer();
    if (peer !== undefined && !this.isPullingFrom(peer)) this.pull(peer, 0, now);
  }

  private pull(peer: NodeRecord, holdLimit: Milliseconds, now: Milliseconds): void {
    this.sequence += 1;
    const { sequence } = this;
    const giveUpAt = now + holdLimit + this.timing.answerMargin;
    this.pulls.set(sequence, { peer, sentAt: now, giveUpAt });
    const hash = this.copy.content?.hash ?? null;
    this.effects.send(peer, { kind: 'pull', sequence, hash, age: this.copy.age(now), holdLimit });
  }
}
