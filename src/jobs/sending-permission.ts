/**
 * Decides whether requests of a job may be sent to workers. Logs each change of the reason, one line
 * a job and change.
 */
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { OwnedJob } from './owned-job.js';

/**
 * Why requests are sent or not:
 * - `confirmed`: the store had the job uncancelled recently.
 * - `store-unreachable`: this node cannot ask the store, and goes on.
 * - `held-back`: the job may have been cancelled, or is about to be.
 */
type SendingReason = 'confirmed' | 'store-unreachable' | 'held-back';

export interface SendingPermissionOptions {
  /** Whether the store is unreachable from this node. */
  readonly isStoreUnreachable: () => boolean;
  readonly log: DecisionLog;
}

export class SendingPermission {
  private readonly reasons = new WeakMap<OwnedJob, SendingReason>();

  constructor(private readonly options: SendingPermissionOptions) {}

  /** Whether items and scores of a job may be requested. */
  maySend(job: OwnedJob): boolean {
    if (!job.isOpen) return false;
    const reason = this.reasonFor(job);
    this.note(job, reason);
    return reason !== 'held-back';
  }

  private reasonFor(job: OwnedJob): SendingReason {
    if (job.isCancellationUnsettled) return 'held-back';
    if (!job.isUnconfirmed) return 'confirmed';
    return this.options.isStoreUnreachable() ? 'store-unreachable' : 'held-back';
  }

  private note(job: OwnedJob, reason: SendingReason): void {
    const earlier = this.reasons.get(job) ?? 'confirmed';
    if (reason === earlier) return;
    this.reasons.set(job, reason);
    const { ownedBy, ownedMs, uncancelledMs } = job.lastConfirmation();
    const details = { ownedBy, ownedMs: Math.round(ownedMs) };
    this.options.log.state('item-sending-changed', {
      ...{ job: job.spec.id, sending: reason, before: earlier },
      ...details,
      uncancelledMs: Math.round(uncancelledMs),
    });
  }
}
