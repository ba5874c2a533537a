/**
 * Keeps a replica's record in the shared store under a lease, so that gateways know where it is and
 * that it lives. A record that lapsed while the store was out of reach is written again.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import { type LeaseId, NO_LEASE, type SharedStore } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { JOURNAL_ZONE_PREFIX } from './replica-directory.js';
import type { ReplicaLocation } from './replica-location.js';
import { REPLICA_PREFIX, replicaRecordOf } from './replica-record.js';

/** Life of the record without renewal: three renewals may fail. */
const LEASE_TTL: Milliseconds = 10_000;

/** Time between two renewals. */
const RENEWAL_INTERVAL: Milliseconds = 3_000;

/** The same while the store does not answer: a zone that returns is to have its journal soon. */
const RETRY_INTERVAL: Milliseconds = 600;

/** Options of {@link ReplicaRegistration}. */
export interface ReplicaRegistrationOptions {
  readonly store: SharedStore;
  readonly place: ReplicaLocation;
  readonly clock: Pick<Clock, 'sleep'>;
  readonly log: DecisionLog;
}

/** Registers one replica until stopped. */
export class ReplicaRegistration {
  private lease: LeaseId = NO_LEASE;
  private isStopped = false;

  constructor(private readonly options: ReplicaRegistrationOptions) {}

  /** Registers and renews; resolves once stopped. */
  async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.isStopped) {
      const isDone = this.lease === NO_LEASE ? await this.register() : await this.renew();
      await clock.sleep(isDone ? RENEWAL_INTERVAL : RETRY_INTERVAL);
    }
  }

  /** Takes the record away: the replica is about to leave. */
  async stop(): Promise<void> {
    this.isStopped = true;
    if (this.lease !== NO_LEASE) await this.options.store.revokeLease(this.lease);
  }

  private async register(): Promise<boolean> {
    const { store, place, log } = this.options;
    const grant = await store.grantLease(LEASE_TTL);
    if (grant.kind !== 'granted' || this.isStopped) return false;
    const { lease } = grant;
    const put = [
      { key: keyOf(place.node), value: replicaRecordOf(place), lease },
      { key: `${JOURNAL_ZONE_PREFIX}${place.zone}`, value: '' },
    ];
    const outcome = await store.commit({ expected: [], put });
    if (outcome.kind !== 'committed') return false;
    this.lease = lease;
    log.state('replica-registered', { disk: place.disk });
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
