/**
 * Maintains a replica's record in the shared store under a lease, so that gateways can locate live
 * replicas. A record that expired while the store was unreachable is written again.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import { type LeaseId, NO_LEASE, type SharedStore } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { JOURNAL_ZONE_PREFIX } from './replica-directory.js';
import type { ReplicaLocation } from './replica-location.js';
import { REPLICA_PREFIX, replicaRecordOf } from './replica-record.js';

/** Tolerates three failed renewals. */
const LEASE_TTL: Milliseconds = 10_000;

const RENEWAL_INTERVAL: Milliseconds = 3_000;

/** Interval while the store does not answer; short, so that a reconnected zone soon has its journal. */
const RETRY_INTERVAL: Milliseconds = 600;

export interface ReplicaRegistrationOptions {
  readonly store: SharedStore;
  readonly location: ReplicaLocation;
  readonly clock: Pick<Clock, 'sleep'>;
  readonly log: DecisionLog;
}

/** Registers one replica until stopped. */
export class ReplicaRegistration {
  private lease: LeaseId = NO_LEASE;
  private isStopped = false;

  constructor(private readonly options: ReplicaRegistrationOptions) {}

  /** Registers the replica and renews its lease; resolves after {@link stop}. */
  async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.isStopped) {
      const hasSucceeded = this.lease === NO_LEASE ? await this.register() : await this.renew();
      await clock.sleep(hasSucceeded ? RENEWAL_INTERVAL : RETRY_INTERVAL);
    }
  }

  /** Revokes the lease, which removes the record. */
  async stop(): Promise<void> {
    this.isStopped = true;
    if (this.lease !== NO_LEASE) await this.options.store.revokeLease(this.lease);
  }

  private async register(): Promise<boolean> {
    const { store, location, log } = this.options;
    const grant = await store.grantLease(LEASE_TTL);
    if (grant.kind !== 'granted' || this.isStopped) return false;
    const { lease } = grant;
    const put = [
      { key: keyOf(location.node), value: replicaRecordOf(location), lease },
      { key: `${JOURNAL_ZONE_PREFIX}${location.zone}`, value: '' },
    ];
    const outcome = await store.commit({ expected: [], put });
    if (outcome.kind !== 'committed') return false;
    this.lease = lease;
    log.state('replica-registered', { disk: location.disk });
    return true;
  }

  private async renew(): Promise<boolean> {
    const outcome = await this.options.store.renewLease(this.lease);
    if (outcome.kind === 'kept') return true;
    if (outcome.kind === 'gone') {
      this.options.log.state('replica-lapsed', {});
      this.lease = NO_LEASE;
    }
    return false;
  }
}

function keyOf(node: NodeId): string {
  return `${REPLICA_PREFIX}${node}`;
}
