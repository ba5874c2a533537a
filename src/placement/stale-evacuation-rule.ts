/**
 * Stops a partitioned node from sending work on a stale list of evacuated zones. Evacuations are
 * written to the shared store, so none can begin while the store is down for every node: a node
 * that still reaches its peers goes on. A node that reaches neither the store nor a peer may have
 * missed an evacuation and sends nothing; other nodes serve its callers.
 */
import type { Milliseconds } from '../core/units.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { SendRejection, SendRule } from './send-rules.js';

export interface StaleEvacuationRuleOptions {
  /** Maximum age of the last contact; `undefined` for no limit. */
  readonly limit: () => Milliseconds | undefined;
  /**
   * Time since the store last reported evacuations or a peer last answered; infinite before that.
   */
  readonly contactAge: () => Milliseconds;
  /** Whether other nodes exist that may know of further evacuations. */
  readonly hasPeers: () => boolean;
  readonly log: Pick<DecisionLog, 'state'>;
}

/** Rejects all sends while the list of evacuations is stale. */
export class StaleEvacuationRule implements SendRule {
  private isBlocking = false;

  constructor(private readonly options: StaleEvacuationRuleOptions) {}

  /**
   * Whether the list of evacuations is too old for this node to send work; rechecks the age while
   * blocking.
   */
  get isStale(): boolean {
    if (this.isBlocking) this.tick();
    return this.isBlocking;
  }

  /** Checks the age of the last contact; called periodically and after a suspension. */
  tick(): void {
    const { limit, contactAge, hasPeers, log } = this.options;
    const maxAge = limit();
    const age = contactAge();
    // Before the first contact the node has no configuration and serves nothing.
    const isTooOld = maxAge !== undefined && Number.isFinite(age) && age > maxAge;
    const isBlocking = isTooOld && hasPeers();
    if (isBlocking === this.isBlocking) return;
    this.isBlocking = isBlocking;
    const contactAgeMs = Math.round(age);
    log.state(isBlocking ? 'evacuations-unknown' : 'evacuations-known', { contactAgeMs });
  }

  rejectionOf(): SendRejection | undefined {
    return this.isStale ? 'evacuations-unknown' : undefined;
  }
}
