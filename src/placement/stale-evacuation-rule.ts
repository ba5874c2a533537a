/**
 * How long a node may act on what it knows of evacuations. An evacuation comes by the shared store, so
 * nobody can have ordered one while the store is out for all: a node that other nodes answer, though
 * none of them hears from the store, goes on. One that hears from neither the store nor any other node
 * is cut off by itself: the others may act on an evacuation that it has missed. It sends nothing, and its
 * callers are served by the others.
 */
import type { Milliseconds } from '../core/units.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { SendRejection, SendRule } from './send-rules.js';

/** Options of {@link StaleEvacuationRule}. */
export interface StaleEvacuationRuleOptions {
  /** Time without any contact after which nothing is sent; `undefined` where nobody asks for a bound. */
  readonly limit: () => Milliseconds | undefined;
  /** Time since the store told of evacuations, or another node that was asked answered. */
  readonly contactAge: () => Milliseconds;
  /** Whether there are other nodes that might know more. */
  readonly hasPeers: () => boolean;
  readonly log: Pick<DecisionLog, 'state'>;
}

/** Keeps a node that is cut off by itself from sending work on old knowledge. */
export class StaleEvacuationRule implements SendRule {
  private isPastAge = false;

  constructor(private readonly options: StaleEvacuationRuleOptions) {}

  /** Whether what is known is too old to send work on. */
  get isStale(): boolean {
    if (this.isPastAge) this.tick();
    return this.isPastAge;
  }

  /** Looks at the age of what is known; called at regular times and after a suspension. */
  tick(): void {
    const { limit, contactAge, hasPeers, log } = this.options;
    const most = limit();
    const age = contactAge();
    // Before the first contact a node has no configuration either, and serves nothing.
    const isOld = most !== undefined && Number.isFinite(age) && age > most;
    const isPastAge = isOld && hasPeers();
    if (isPastAge === this.isPastAge) return;
    this.isPastAge = isPastAge;
    const contactAgeMs = Math.round(age);
    log.state(isPastAge ? 'evacuations-unknown' : 'evacuations-known', { contactAgeMs });
  }

  rejectionOf(): SendRejection | undefined {
    return this.isStale ? 'evacuations-unknown' : undefined;
  }
}
