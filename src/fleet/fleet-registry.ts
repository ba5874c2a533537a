/**
 * Registers this node under a lease in the shared store and tracks the live nodes of the fleet. A
 * lease may expire while its node is running, so correctness must not depend on liveness.
 */
import { firstValueFrom, Subject } from 'rxjs';
import { CURRENT_FORMAT_VERSION, type FormatVersion } from '../core/format-version.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { JobOwner } from '../jobs/job-records.js';
import { REPLICA_PREFIX, replicaFormatOf } from '../journal/replica-record.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import { PrefixWatcher } from '../shared-store/prefix-watcher.js';
import {
  ABSENT,
  type LeaseId,
  NO_LEASE,
  type SharedStore,
  type StoreChange,
} from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { FormatVersions } from './format-versions.js';
import { type NodeRecord, parseNodeRecord } from './node-record.js';

/** Prefix of the records of nodes and of the coordinator. */
export const FLEET_PREFIX = 'fleet/';
const NODE_PREFIX = `${FLEET_PREFIX}node/`;

/** Time to live of a lease, and time between its renewals. */
interface LeaseTiming {
  readonly ttl: Milliseconds;
  readonly renewalInterval: Milliseconds;
}

/**
 * For a node that runs jobs, relays the store or gives orders: others notice its failure soon, and
 * it soon notices that the store is unreachable.
 */
export const SHORT_LEASE: LeaseTiming = { ttl: 2_000, renewalInterval: 600 };

/**
 * For all other nodes, which only forward requests; two renewals may fail before the lease expires.
 * In a large fleet their renewals are most of the calls to the store.
 */
export const LONG_LEASE: LeaseTiming = { ttl: 8_000, renewalInterval: 2_500 };

/** Time without an answer after which the store counts as unreachable; longer than one call. */
const OUTAGE_THRESHOLD: Milliseconds = 400;

const MIN_RENEWAL_INTERVAL: Milliseconds = 300;

/** Time for which a start waits for the first list of the fleet, which names the relays. */
const FIRST_LIST_TIMEOUT: Milliseconds = 1_000;

/** Time for all nodes to register when the whole fleet starts for the first time. */
const FIRST_START_DELAY: Milliseconds = 1_500;

/**
 * The end of a node's incarnation. `replaced`: the process has terminated; `lease-over`: it may
 * still be running.
 */
export interface NodeTermination {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly cause: 'replaced' | 'lease-over';
}

export interface FleetRegistryOptions {
  readonly store: SharedStore;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** CPU share of this machine, in standard cores. @default 1 */
  readonly capacity?: number;
  /** Whether the whole fleet is starting for the first time. @default false */
  readonly isFirstStart?: boolean;
}

/** Tracks the live incarnations of nodes and maintains this node's own record. */
export class FleetRegistry {
  /** Fires after a node left or was replaced by a new incarnation. */
  readonly terminations = new Subject<NodeTermination>();
  /** Fires after a node joined or started a new incarnation. */
  readonly arrivals = new Subject<NodeId>();
  /** Changes under the prefix of the fleet other than those of nodes. */
  readonly otherChanges = new Subject<StoreChange>();
  /** Fires when the store answers a renewal after an earlier one failed. */
  readonly storeReconnected = new Subject<void>();
  /** Fires after each complete list of the fleet. */
  readonly listed = new Subject<void>();
  private readonly live = new Map<NodeId, NodeRecord>();
  private readonly formats = new FormatVersions();
  private readonly watcher: PrefixWatcher;
  private lease: LeaseId = NO_LEASE;
  /** Revision at which this incarnation last stored its record. */
  private registeredAt: Revision = ABSENT;
  /** Whether the store has the record of another incarnation in place of this one's. */
  private isRecordReplaced = false;
  /** Time to live of the current lease. */
  private ttl: Milliseconds = 0;
  private isShortLeaseRequired = false;
  /** By {@link suspendAwareTime}, as the lease also runs while this machine is suspended. */
  private renewedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** When the last renewal was sent, whatever its outcome. */
  private lastRenewalSentAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private isRenewing = false;
  private isStoreSilent = false;
  private silentSince: Milliseconds = Number.POSITIVE_INFINITY;
  private reconnectedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private wasListed = false;

  constructor(private readonly options: FleetRegistryOptions) {
    this.watcher = new PrefixWatcher({ store: options.store, prefix: FLEET_PREFIX });
    this.watcher.updates.subscribe(({ changes, listed }) => {
      for (const change of changes) this.applyChange(change);
      if (!listed) return;
      this.wasListed = true;
      this.formats.noteListed();
      this.listed.next();
    });
    this.watcher.health.subscribe((health) =>
      options.log.state('store-watch', { prefix: FLEET_PREFIX, health }),
    );
  }

  /**
   * Registers this node and watches the others. When the whole fleet starts for the first time,
   * each node waits for the others to register before it lists them. Resolves once the fleet was
   * listed, or after a time limit.
   */
  async start(): Promise<void> {
    await this.renew();
    if (this.options.isFirstStart === true) await this.options.clock.sleep(FIRST_START_DELAY);
    if (this.isStopped) return;
    const listed = firstValueFrom(this.listed, { defaultValue: undefined });
    void this.watcher.run();
    await Promise.race([listed, this.options.clock.sleep(FIRST_LIST_TIMEOUT)]);
  }

  /** Whether the fleet, with the records that nodes store beside their own, was listed once. */
  get isListed(): boolean {
    return this.wasListed;
  }

  /** Whether this node needs a short lease, as others depend on noticing its failure soon. */
  get requiresShortLease(): boolean {
    return this.isShortLeaseRequired;
  }

  /** Whether the current lease expires soon after this node fails. */
  get hasShortLease(): boolean {
    return this.lease !== NO_LEASE && this.ttl <= SHORT_LEASE.ttl;
  }

  /**
   * Requests a short lease until this process ends; called when this node runs jobs, relays the
   * store or gives orders.
   */
  requireShortLease(): void {
    if (this.isShortLeaseRequired) return;
    this.isShortLeaseRequired = true;
    this.renewLeaseSoon();
  }

  /** Renews the lease now unless that was just done; called when the store may be unreachable. */
  renewLeaseSoon(): void {
    const age = this.options.clock.now() - this.lastRenewalSentAt;
    if (this.isStopped || this.isRenewing) return;
    if (age < MIN_RENEWAL_INTERVAL && this.hasRequiredLease) return;
    clearTimeout(this.timer);
    void this.renew();
  }

  /**
   * Restarts the watch and renews the lease, as both may be lost after a suspension of the machine.
   */
  noteSuspended(): void {
    this.watcher.restart();
    this.lastRenewalSentAt = Number.NEGATIVE_INFINITY;
    this.renewLeaseSoon();
  }

  /** Ends the lease, so that others need not wait for it to expire. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.watcher.stop();
    if (this.lease !== NO_LEASE) await this.options.store.revokeLease(this.lease);
  }

  /** Whether an incarnation of a node is live according to this node's membership list. */
  isLive(owner: JobOwner): boolean {
    return this.live.get(owner.node)?.incarnation === owner.incarnation;
  }

  liveNodes(): string[] {
    return [...this.live.keys()];
  }

  /** The live incarnation of a node. */
  incarnationOf(node: NodeId): JobOwner | undefined {
    const record = this.live.get(node);
    if (record === undefined) return undefined;
    return { node, incarnation: record.incarnation, address: record.address };
  }

  /** The live incarnations of all nodes. */
  liveIncarnations(): JobOwner[] {
    const entries = [...this.live];
    return entries.map(([node, { incarnation, address }]) => ({ node, incarnation, address }));
  }

  addressOf(node: NodeId): string | undefined {
    return this.live.get(node)?.address;
  }

  zoneOf(node: NodeId): ZoneName | undefined {
    return this.live.get(node)?.zone;
  }

  /** CPU share of a live node's machine, in standard cores; 0 if the node is unknown. */
  capacityOf(node: NodeId): number {
    return this.live.get(node)?.capacity ?? 0;
  }

  /** Whether every node that may be running reads a format, so that it may be written. */
  isReadByAll(format: FormatVersion): boolean {
    return this.formats.isReadByAll(format, suspendAwareTime(this.options.clock));
  }

  /** Whether the store left a renewal unanswered within the given time before now. */
  wasStoreUnreachableWithin(duration: Milliseconds): boolean {
    return this.isStoreSilent || this.options.clock.now() - this.reconnectedAt < duration;
  }

  /** Whether the store has not answered this node for a while; other nodes may still reach it. */
  get isStoreUnreachable(): boolean {
    return this.isStoreSilent && this.options.clock.now() - this.silentSince > OUTAGE_THRESHOLD;
  }

  /** The lease of this node's record, or `NO_LEASE`. */
  get leaseId(): LeaseId {
    return this.lease;
  }

  /** Minimum remaining time of the lease by this node's clock; negative once it expired. */
  leaseRemaining(): Milliseconds {
    return this.renewedAt + this.ttl - suspendAwareTime(this.options.clock);
  }

  /** Time since the last successful renewal of the lease was sent. */
  renewalAge(): Milliseconds {
    return suspendAwareTime(this.options.clock) - this.renewedAt;
  }

  private applyChange(change: StoreChange): void {
    if (!change.key.startsWith(NODE_PREFIX)) {
      if (change.key.startsWith(REPLICA_PREFIX)) this.noteReplica(change);
      this.otherChanges.next(change);
      return;
    }
    const node = change.key.slice(NODE_PREFIX.length);
    const previous = this.live.get(node);
    const record = change.value === undefined ? undefined : parseNodeRecord(change.value);
    if (record === undefined) {
      this.live.delete(node);
      this.formats.noteExpired(node, suspendAwareTime(this.options.clock));
    } else {
      this.live.set(node, record);
      this.formats.note(node, record.format);
    }
    if (node === this.options.self.node) this.checkOwnRecord(change, record);
    if (previous?.incarnation === record?.incarnation) return;
    const state = record === undefined ? 'gone' : 'live';
    const formatField = record === undefined ? {} : { format: record.format };
    this.options.log.state('fleet-node', {
      peer: node,
      state,
      ...formatField,
      live: this.live.size,
    });
    const cause = record === undefined ? 'lease-over' : 'replaced';
    if (previous !== undefined) this.terminations.next({ node, zone: previous.zone, cause });
    if (record !== undefined) this.arrivals.next(node);
  }

  /**
   * Stores the record of this incarnation again if an earlier one replaced it: a commit of that one
   * may be carried out late, and its record ends with the earlier lease.
   */
  private checkOwnRecord({ revision }: StoreChange, record: NodeRecord | undefined): void {
    const { self, log } = this.options;
    if (this.lease === NO_LEASE || revision <= this.registeredAt) return;
    if (record === undefined || record.incarnation === self.incarnation) return;
    log.state('record-replaced', { by: record.incarnation, lease: this.lease });
    this.isRecordReplaced = true;
    this.renewLeaseSoon();
  }

  /** A journal replica reads the records that gateways write, so its format counts as well. */
  private noteReplica({ key, value }: StoreChange): void {
    const format = value === undefined ? undefined : replicaFormatOf(value);
    if (format !== undefined) this.formats.note(key, format);
    else if (value === undefined)
      this.formats.noteExpired(key, suspendAwareTime(this.options.clock));
  }

  private get leaseTiming(): LeaseTiming {
    return this.isShortLeaseRequired ? SHORT_LEASE : LONG_LEASE;
  }

  /** Whether the current lease is as short as this node requires. */
  private get hasRequiredLease(): boolean {
    return this.lease !== NO_LEASE && this.ttl <= this.leaseTiming.ttl;
  }

  private async renew(): Promise<void> {
    const sentAt = this.options.clock.now();
    const renewedAt = suspendAwareTime(this.options.clock);
    this.lastRenewalSentAt = sentAt;
    this.isRenewing = true;
    const isRenewed = this.hasRequiredLease
      ? await this.renewCurrentLease()
      : await this.register();
    this.isRenewing = false;
    if (isRenewed) this.renewedAt = renewedAt;
    this.noteStoreAnswer(isRenewed, sentAt);
    if (this.isStopped) return;
    const elapsed = this.options.clock.now() - sentAt;
    // While the store does not answer, it is retried at the short interval.
    const { renewalInterval } = isRenewed ? this.leaseTiming : SHORT_LEASE;
    const delay = Math.max(MIN_RENEWAL_INTERVAL / 2, renewalInterval - elapsed);
    this.timer = setTimeout(
      () => void this.renew(),
      this.hasRequiredLease || !isRenewed ? delay : 0,
    );
  }

  private noteStoreAnswer(answers: boolean, sentAt: Milliseconds): void {
    if (answers === !this.isStoreSilent) return;
    this.silentSince = answers ? Number.POSITIVE_INFINITY : sentAt;
    this.isStoreSilent = !answers;
    this.options.log.state(answers ? 'store-regained' : 'store-lost');
    if (!answers) return;
    this.reconnectedAt = this.options.clock.now();
    this.watcher.restart();
    this.storeReconnected.next();
  }

  private async register(): Promise<boolean> {
    const { store, log } = this.options;
    const { ttl } = this.leaseTiming;
    const grant = await store.grantLease(ttl);
    if (grant.kind !== 'granted' || this.isStopped) return false;
    if (!(await this.storeRecord(grant.lease))) return false;
    this.lease = grant.lease;
    this.ttl = grant.ttl;
    log.state('lease-granted', { lease: grant.lease, ttlMs: grant.ttl });
    return true;
  }

  private async storeRecord(lease: LeaseId): Promise<boolean> {
    const { store, self, zone, capacity = 1 } = this.options;
    const { incarnation, address } = self;
    const record: NodeRecord = {
      incarnation,
      zone,
      address,
      capacity,
      format: CURRENT_FORMAT_VERSION,
    };
    const value = JSON.stringify(record);
    const put = [{ key: `${NODE_PREFIX}${self.node}`, value, lease }];
    const outcome = await store.commit({ expected: [], put });
    if (outcome.kind !== 'committed') return false;
    this.registeredAt = outcome.revision;
    this.isRecordReplaced = false;
    return true;
  }

  private async renewCurrentLease(): Promise<boolean> {
    const outcome = await this.options.store.renewLease(this.lease);
    if (outcome.kind === 'kept') return !this.isRecordReplaced || this.storeRecord(this.lease);
    if (outcome.kind === 'gone') {
      this.options.log.state('lease-lost', { lease: this.lease });
      this.lease = NO_LEASE;
    }
    return false;
  }
}
