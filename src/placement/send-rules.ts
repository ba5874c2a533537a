/**
 * Rules that decide whether a worker may be sent work now. Placement checks them to choose among
 * workers; the engine port checks them again right before each send, so that no path bypasses a
 * rule.
 */
import type { WorkerRecord } from '../serving/traffic-configuration.js';
import type { AllowedRegions } from './allowed-regions.js';

/** Reason for which a worker is not sent work; logged and counted under this value. */
export type SendRejection =
  | 'region-not-allowed'
  | 'zone-evacuated'
  /** This node may have missed an evacuation. */
  | 'evacuations-unknown'
  | 'worker-cold';

export interface SendRule {
  /** The reason not to send work of these regions to the worker; `undefined` if it may be sent. */
  rejectionOf(worker: WorkerRecord, allowed: AllowedRegions): SendRejection | undefined;
  /**
   * Called right before a request is sent, in the same turn of the event loop in which
   * {@link rejectionOf} returned `undefined`; uses up a permit, for example.
   */
  noteSent?(worker: WorkerRecord): void;
}

/** All send rules of a node. */
export class SendRules {
  constructor(private readonly rules: readonly SendRule[] = []) {}

  /** The first rule's reason not to send work to the worker; `undefined` if there is none. */
  rejectionOf(worker: WorkerRecord, allowed: AllowedRegions): SendRejection | undefined {
    for (const rule of this.rules) {
      const rejection = rule.rejectionOf(worker, allowed);
      if (rejection !== undefined) return rejection;
    }
    return undefined;
  }

  mayReceive(worker: WorkerRecord, allowed: AllowedRegions): boolean {
    return this.rejectionOf(worker, allowed) === undefined;
  }

  /** Admits one request to a worker, or returns the reason not to send it. */
  admit(worker: WorkerRecord, allowed: AllowedRegions): SendRejection | undefined {
    const rejection = this.rejectionOf(worker, allowed);
    if (rejection !== undefined) return rejection;
    for (const rule of this.rules) rule.noteSent?.(worker);
    return undefined;
  }
}
