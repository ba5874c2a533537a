/**
 * Limits requests to cold workers without a granter; the simulation compares permits with this
 * rule.
 */
import { rendezvousOrder } from '../../src/core/hashing.js';
import {
  PermitBucket,
  type PermitLimits,
  permitLimits,
} from '../../src/placement/permit-bucket.js';
import type { SendRejection, SendRule } from '../../src/placement/send-rules.js';
import type { WorkerRecord } from '../../src/serving/traffic-configuration.js';
import { COLD_START, type ColdGateway, TOLERANCE } from './cold-fleet.js';

/**
 * The first two nodes in the rendezvous order of a worker share its rate. Views of the live nodes
 * may differ, so up to four nodes may see themselves among the two, and each gets a quarter.
 */
export class SharedRate implements SendRule {
  private readonly buckets = new Map<string, PermitBucket>();

  constructor(
    private readonly gateway: ColdGateway,
    private readonly name: string,
    private readonly liveNodes: () => readonly string[],
  ) {}

  rejectionOf(record: WorkerRecord): SendRejection | undefined {
    if (this.gateway.warmth.of(record, COLD_START).kind === 'warm') return undefined;
    const senders = rendezvousOrder(record.id, this.liveNodes(), (name) => name).slice(0, 2);
    if (!senders.includes(this.name)) return 'worker-cold';
    const bucket = this.buckets.get(record.id) ?? new PermitBucket();
    this.buckets.set(record.id, bucket);
    return bucket.take(1, this.limits(), this.gateway.clock.now()) > 0 ? undefined : 'worker-cold';
  }

  private limits(): PermitLimits {
    const { rate } = permitLimits(COLD_START, TOLERANCE);
    return { rate: rate / 4, saved: 1 };
  }
}
