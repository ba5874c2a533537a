/**
 * Answers operators' requests to drain a storage node. A journal replica holds jobs that the shared
 * store does not have yet, and trainers' records name it; once neither is left, the coordinator
 * reports the node as empty.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { CoordinatorLock } from './coordinator-lock.js';

/** Time after a check of a node that was not empty, since each one reads all trainers' records. */
const RECHECK_INTERVAL: Milliseconds = 500;

/** Reports the progress of drains to the operator. */
export interface StorageDrainPort {
  /** Reports a node as empty; resolves to whether the report is stored. */
  reportEmpty(node: NodeId): Promise<boolean>;
}

export interface StorageDrainsOptions {
  readonly port: StorageDrainPort;
  readonly lock: Pick<CoordinatorLock, 'fencingToken'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly log: DecisionLog;
  /** Whether a node can be removed without loss; prepares it for that. */
  readonly isEmpty: (node: NodeId) => Promise<boolean>;
}

/** Tracks the open requests. */
export class StorageDrains {
  private readonly pending = new Set<NodeId>();
  private isReporting = false;
  private nextCheckAt: Milliseconds = 0;

  constructor(private readonly options: StorageDrainsOptions) {}

  /** Adds a request; the coordinator answers it. */
  request(node: NodeId): void {
    this.pending.add(node);
  }

  /** Checks one node, where this node is the coordinator. */
  tick(): void {
    const [node] = this.pending;
    if (node === undefined || this.isReporting) return;
    if (this.options.clock.now() < this.nextCheckAt) return;
    if (this.options.lock.fencingToken() === undefined) return;
    this.isReporting = true;
    void this.report(node).finally(() => {
      this.isReporting = false;
    });
  }

  private async report(node: NodeId): Promise<void> {
    if (!(await this.options.isEmpty(node))) {
      this.nextCheckAt = this.options.clock.now() + RECHECK_INTERVAL;
      // Moves the node to the end of the queue.
      this.pending.delete(node);
      this.pending.add(node);
      return;
    }
    const isStored = await this.options.port.reportEmpty(node);
    if (!isStored) return;
    this.pending.delete(node);
    this.options.log.state('storage-drained', { drained: node });
  }
}
