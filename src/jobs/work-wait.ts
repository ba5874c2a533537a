/** Why an accepted item, or the request for its score, is at no worker, and since when. */
import type { Milliseconds } from '../core/units.js';
import type { SendRejection } from '../placement/send-rules.js';

/** A reason is looked for at most this often, as it may take a search of all workers. */
const NOTE_INTERVAL: Milliseconds = 200;

/** Why work is at no worker; logged and counted under this value. */
export type WaitReason =
  /** No dispatch pass has considered it yet. */
  | 'not-considered'
  /** Its job may have been cancelled; see {@link SendingPermission}. */
  | 'sending-held-back'
  /** The configuration has no route for it, or the route has no target. */
  | 'no-route'
  /** The delay after its last run. */
  | 'retry-delay'
  /** Workers crashed under it. */
  | 'crash-delay'
  /** The service has no worker that accepts work. */
  | 'no-worker'
  /** All weights are older than its job allows. */
  | 'weights-too-old'
  /** No weights have the version to which its existing events bind it. */
  | 'weights-differ'
  | 'weights-loading'
  /** Recent requests to the remaining workers failed. */
  | 'workers-penalized'
  | 'workers-full'
  | SendRejection;

/** What decided that work waits, as fields of a log line. */
export type WaitInputs = Readonly<Record<string, string | number>>;

/** Why work can't be sent now. */
export interface Obstacle {
  readonly reason: WaitReason;
  readonly inputs: WaitInputs;
}

/** The wait of one item; times are by the steady clock. */
export class WorkWait {
  private obstacle: Obstacle = { reason: 'not-considered', inputs: {} };
  private reasonSince: Milliseconds;
  private notedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Whether the reason has changed since it was last reported, and when that was. */
  private reported: { readonly reason: WaitReason; readonly at: Milliseconds } | undefined;

  /** `idleSince`: when the work was accepted, or last left a worker that had answered. */
  constructor(private idleSince: Milliseconds) {
    this.reasonSince = idleSince;
  }

  get reason(): WaitReason {
    return this.obstacle.reason;
  }

  /** Time since the work was accepted, or last left a worker that had answered. */
  idleTime(now: Milliseconds): Milliseconds {
    return now - this.idleSince;
  }

  /** Begins a new wait, after a worker has answered and the work has left it. */
  restart(now: Milliseconds, obstacle: Obstacle): void {
    this.idleSince = now;
    this.reported = undefined;
    this.resume(now, obstacle);
  }

  /** Goes on after a try that no worker answered. */
  resume(now: Milliseconds, obstacle: Obstacle): void {
    this.note(now, obstacle);
    this.reasonSince = now;
    this.notedAt = Number.NEGATIVE_INFINITY;
  }

  /** Records why the work can't be sent now. */
  note(now: Milliseconds, obstacle: Obstacle): void {
    if (obstacle.reason !== this.obstacle.reason) this.reasonSince = now;
    this.obstacle = obstacle;
    this.notedAt = now;
  }

  /** Whether the reason should be looked for again. */
  isNoteDue(now: Milliseconds): boolean {
    return now - this.notedAt >= NOTE_INTERVAL;
  }

  /** Whether the reason was not reported yet, or longer ago than `interval`. */
  isReportDue(now: Milliseconds, interval: Milliseconds): boolean {
    if (this.reported?.reason !== this.reason) return true;
    return now - this.reported.at >= interval;
  }

  /** Returns the fields of a log line about this wait, and remembers that it was reported. */
  report(now: Milliseconds): WaitInputs {
    this.reported = { reason: this.reason, at: now };
    return {
      reason: this.reason,
      idleMs: Math.round(now - this.idleSince),
      reasonMs: Math.round(now - this.reasonSince),
      ...this.obstacle.inputs,
    };
  }
}
