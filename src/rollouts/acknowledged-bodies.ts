/**
 * Makes room in the ledger for a step that is larger than what its replicas hold at once: results
 * of acknowledged positions are kept as long as there is room, so that they can be read again, and
 * forgotten when a result finds none. What is not acknowledged is never forgotten here.
 */
import type { NodePorts } from '../core/node-ports.js';
import type { DeliveryEntry, StepRecord } from './records.js';

/** Results of one step, in the order of their positions. */
export class AcknowledgedBodies {
  private readonly digests: string[] = [];
  private acknowledged = 0;
  private forgotten = 0;

  constructor(
    private readonly node: NodePorts,
    private readonly stepKey: string,
    private readonly record: StepRecord,
  ) {
    this.acknowledged = record.acknowledged;
  }

  /** Takes in entries of the log that follow all those taken in before. */
  delivered(entries: readonly DeliveryEntry[]): void {
    for (const { digest } of entries) this.digests.push(digest);
  }

  /** All positions below were acknowledged. */
  raise(acknowledged: number): void {
    this.acknowledged = Math.max(this.acknowledged, acknowledged);
  }

  /** Forgets all acknowledged results that are still kept; returns how many. */
  forget(): number {
    const end = Math.min(this.acknowledged, this.digests.length);
    const digests = this.digests.slice(this.forgotten, end);
    if (digests.length === 0) return 0;
    this.forgotten = end;
    this.node.ledger.removeBodies(this.record.intent, this.stepKey, digests);
    this.node.recordDecision(
      this.stepKey,
      `${digests.length} results forgotten`,
      'the ledger was full',
    );
    return digests.length;
  }
}
