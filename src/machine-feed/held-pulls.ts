/** The parent's side: holds pulls until there is something to answer, and serves pages. */
import type { NodeId, NodeRecord } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { BUCKET_COUNT } from './machine-content.js';
import type { MachineCopy } from './machine-copy.js';
import type { MachineFeedEffectList, MachineFeedTiming } from './machine-feed-effects.js';
import type { BucketRecords, MachineFeedMessage } from './messages.js';

/** Pulls held for others at once; further ones are answered at once. */
const HELD_LIMIT = 64;

type PullMessage = Extract<MachineFeedMessage, { kind: 'pull' }>;
type FetchMessage = Extract<MachineFeedMessage, { kind: 'fetch' }>;

interface HeldPull {
  readonly from: NodeRecord;
  readonly message: PullMessage;
  readonly arrivedAt: Milliseconds;
}

/** Pulls of other nodes. */
export class HeldPulls {
  private readonly held = new Map<NodeId, HeldPull>();

  constructor(
    private readonly copy: MachineCopy,
    private readonly timing: MachineFeedTiming,
    private readonly effects: MachineFeedEffectList,
  ) {}

  /** Takes in a pull; a later one of the same node replaces an earlier one. */
  receive(from: NodeRecord, message: PullMessage, now: Milliseconds): void {
    const pull = { from, message, arrivedAt: now };
    this.held.delete(from.node);
    if (this.held.size >= HELD_LIMIT) this.answer(pull, now);
    else this.held.set(from.node, pull);
  }

  /** Answers the pulls that have something to gain or have been held long enough. */
  settle(now: Milliseconds): void {
    for (const [node, pull] of this.held) {
      const holdLimit = Math.min(pull.message.holdLimit, this.timing.holdLimit);
      if (now - pull.arrivedAt < holdLimit && !this.hasNews(pull)) continue;
      this.held.delete(node);
      this.answer(pull, now);
    }
  }

  /** Answers with a page, or with the digests where the content is not the wanted one any more. */
  serve(from: NodeRecord, message: FetchMessage, now: Milliseconds): void {
    const { sequence, hash } = message;
    const { content } = this.copy;
    if (content === null) return;
    if (content.hash !== hash) {
      const { digests } = content;
      const age = this.copy.age(now);
      this.effects.send(from, {
        kind: 'answer',
        sequence,
        hash: content.hash,
        age,
        held: 0,
        digests,
      });
      return;
    }
    this.effects.send(from, { kind: 'page', sequence, buckets: this.page(message.buckets) });
  }

  /** Whether this node's content differs from the child's and was read later. */
  private hasNews({ message, arrivedAt }: HeldPull): boolean {
    const { content, asOf } = this.copy;
    if (content === null || content.hash === message.hash) return false;
    return message.age === null || asOf > arrivedAt - message.age;
  }

  private answer(pull: HeldPull, now: Milliseconds): void {
    const { from, message, arrivedAt } = pull;
    const { content } = this.copy;
    this.effects.send(from, {
      kind: 'answer',
      sequence: message.sequence,
      hash: content?.hash ?? null,
      age: this.copy.age(now),
      held: now - arrivedAt,
      digests: content !== null && this.hasNews(pull) ? content.digests : null,
    });
  }

  private page(wanted: readonly number[]): readonly BucketRecords[] {
    const page: BucketRecords[] = [];
    let size = 0;
    for (const position of wanted.slice(0, BUCKET_COUNT)) {
      const bucket = this.copy.content?.buckets[position];
      if (bucket === undefined) continue;
      size += bucket.size;
      if (page.length > 0 && size > this.timing.pageSize) break;
      page.push({ position, records: bucket.records });
    }
    return page;
  }
}
