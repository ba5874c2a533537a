/**
 * Whether a worker may be sent a piece of work now. Each reason that may speak against it is a rule
 * of its own. What chooses workers asks first, so as to choose well; what sends asks again, right
 * before it sends, and so no path to a worker goes round a rule.
 */
import type { WorkerRecord } from '../serving/traffic-configuration.js';
import type { AllowedRegions } from './allowed-regions.js';

/** What keeps a worker from being sent work. */
export type SendRejection =
  | 'region-not-allowed'
  | 'zone-evacuated'
  /** This node may have missed an evacuation. */
  | 'evacuations-unknown'
  | 'worker-cold';

/** One reason for which workers are sent nothing. */
export interface SendRule {
  /** What keeps a worker from being sent work of these regions now; `undefined` where nothing does. */
  rejectionOf(worker: WorkerRecord, allowed: AllowedRegions): SendRejection | undefined;
  /**
   * A request is about to go to the worker: uses up what the rule grants. Called in the same turn in
   * which {@link rejectionOf} found nothing.
   */
  noteSent?(worker: WorkerRecord): void;
}

/** All rules that hold for what a node sends. */
export class SendRules {
  constructor(private readonly rules: readonly SendRule[] = []) {}

  /** The first obstacle to sending work to a worker; `undefined` where there is none. */
  rejectionOf(worker: WorkerRecord, allowed: AllowedRegions): SendRejection | undefined {
    for (const rule of this.rules) {
      const obstacle = rule.rejectionOf(worker, allowed);
      if (obstacle !== undefined) return obstacle;
    }
    return undefined;
  }

  /** Whether a worker may be sent work of these regions now. */
  mayReceive(worker: WorkerRecord, allowed: AllowedRegions): boolean {
    return this.rejectionOf(worker, allowed) === undefined;
  }

  /** Lets one request go to a worker, or tells what keeps it from going. */
  admit(worker: WorkerRecord, allowed: AllowedRegions): SendRejection | undefined {
    const obstacle = this.rejectionOf(worker, allowed);
    if (obstacle !== undefined) return obstacle;
    for (const rule of this.rules) rule.noteSent?.(worker);
    return undefined;
  }
}
