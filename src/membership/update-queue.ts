/**
 * Updates still to be passed on inside the zone. Each is sent a limited number of times, least
 * often sent first, as in SWIM (Das, Gupta and Motivala, 2002).
 */
import type { NodeId } from '../core/identity.js';
import type { MemberUpdate } from './messages.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly urgent: boolean;
  sent: number;
}

/** The queue of one node. */
export class UpdateQueue {
  private readonly queued = new Map<NodeId, QueuedUpdate>();
  private urgentCount = 0;

  constructor(private readonly updatesPerMessage: number) {}

  /** Queues an update, in place of an earlier one of the same node. */
  push(update: MemberUpdate, urgent: boolean): void {
    this.drop(update.record.node);
    this.queued.set(update.record.node, { update, urgent, sent: 0 });
    if (urgent) this.urgentCount += 1;
  }

  /** Whether something waits that should not wait for the next probe. */
  hasUrgent(): boolean {
    return this.urgentCount > 0;
  }

  /** The updates for one message; `limit` is how often each is sent in all. */
  next(limit: number): readonly MemberUpdate[] {
    if (this.queued.size === 0) return [];
    const entries = [...this.queued.values()].sort((left, right) => left.sent - right.sent);
    const chosen = entries.slice(0, this.updatesPerMessage);
    for (const entry of chosen) {
      entry.sent += 1;
      if (entry.sent >= limit) this.drop(entry.update.record.node);
    }
    return chosen.map((entry) => entry.update);
  }

  private drop(node: NodeId): void {
    const entry = this.queued.get(node);
    if (entry === undefined) return;
    this.queued.delete(node);
    if (entry.urgent) this.urgentCount -= 1;
  }
}
