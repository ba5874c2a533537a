/**
 * The live nodes of the fleet. Each node keeps a record under a lease in the shared store; a node
 * whose lease ran out counts as gone. A lease may lapse while its node lives, so nothing that must
 * stay true rests on it: a node that is wrongly taken for gone loses work, never correctness.
 */
import { firstValueFrom, Subject } from 'rxjs';
import { type FormatVersion, OWN_FORMAT } from '../core/format-version.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { JobOwner } from '../jobs/job-records.js';
import { REPLICA_PREFIX, replicaFormatOf } from '../journal/replica-record.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import { PrefixWatcher } from '../shared-store/prefix-watcher.js';
import {
  type LeaseId,
  NO_LEASE,
  type SharedStore,
  type StoreChange,
} from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { FormatVersions } from './format-versions.js';
import { type NodeRecord, parseNodeRecord } from './node-record.js';

/** Where the records of nodes and of the coordinator lie. */
export const FLEET_PREFIX = 'fleet/';
const NODE_PREFIX = `${FLEET_PREFIX}node/`;

/** Life of a lease after its last renewal, and time between renewals. */
interface LeasePace {
  readonly ttl: Milliseconds;
  readonly renewalInterval: Milliseconds;
}

/**
 * A node that runs jobs, relays the store or gives orders is missed at once: its lease lapses soon
 * after it fell silent, and it learns soon that the store is out of reach.
 */
export const PROMPT_PACE: LeasePace = { ttl: 2_000, renewalInterval: 600 };

/**
 * All others only forward requests. Their renewals are what most calls of a large fleet would be;
 * two of them may fail before the lease lapses.
 */
export const RELAXED_PACE: LeasePace = { ttl: 8_000, renewalInterval: 2_500 };

/** Time for which the store has to be silent before a node counts as cut off: more than one call. */
const CUT_OFF_AGE: Milliseconds = 400;

/** Least time between two renewals, whoever asks for them. */
const LEAST_RENEWAL_PAUSE: Milliseconds = 300;

/** Time for which a start waits for the list of the fleet, which names the relays for all else. */
const FIRST_LIST_LIMIT: Milliseconds = 1_000;

/** Time from the first start of a whole fleet until all nodes have registered themselves. */
const FIRST_START_DELAY: Milliseconds = 1_500;

/** A life of a node that ended; a node that is replaced is surely gone, its lease may just lapse. */
export interface NodeTermination {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly cause: 'replaced' | 'lease-over';
}

/** Options of {@link FleetRegistry}. */
export interface FleetRegistryOptions {
  readonly store: SharedStore;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Processor share of this machine, in cores of ordinary speed. @default 1 */
  readonly capacity?: number;
  /** Whether the whole fleet starts for the first time, now. @default false */
  readonly isFirstStart?: boolean;
}

/** Knows which lives of nodes are live, and keeps this node's own record. */
export class FleetRegistry {
  /** Fires after a node left or was replaced by a new life. */
  readonly terminations = new Subject<NodeTermination>();
  /** Fires after a node joined or began a new life. */
  readonly arrivals = new Subject<NodeId>();
  /** Changes under the fleet's prefix that are not about nodes. */
  readonly otherChanges = new Subject<StoreChange>();
  /** Fires when the store answers again after a renewal went unanswered. */
  readonly storeReconnected = new Subject<void>();
  /** Fires once the fleet was listed whole. */
  readonly listed = new Subject<void>();
  private readonly live = new Map<NodeId, NodeRecord>();
  private readonly formats = new FormatVersions();
  private readonly watcher: PrefixWatcher;
  private lease: LeaseId = NO_LEASE;
  /** Life of the lease that is held. */
  private ttl: Milliseconds = 0;
  private areDutiesTaken = false;
  /** By {@link suspendAwareTime}, as the lease goes on while this machine is suspended. */
  private renewedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** When the newest renewal was sent, whatever came of it. */
  private triedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private isRenewing = false;
  private isStoreSilent = false;
  private silentSince: Milliseconds = Number.POSITIVE_INFINITY;
  private regainedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: FleetRegistryOptions) {
    this.watcher = new PrefixWatcher({ store: options.store, prefix: FLEET_PREFIX });
    this.watcher.updates.subscribe(({ changes, listed }) => {
      for (const change of changes) this.take(change);
      if (!listed) return;
      this.formats.noteListed();
      this.listed.next();
    });
    this.watcher.health.subscribe((health) =>
      options.log.state('store-watch', { prefix: FLEET_PREFIX, health }),
    );
  }

  /**
   * Registers this node, so that its own list shows it, and follows the others. Where all nodes
   * start for the first time, each waits until the others have registered: one list then shows the
   * whole fleet. Resolves once the fleet was listed, or the store has not told it for a while.
   */
  async start(): Promise<void> {
    await this.renew();
    if (this.options.isFirstStart === true) await this.options.clock.sleep(FIRST_START_DELAY);
    if (this.isStopped) return;
    const listed = firstValueFrom(this.listed, { defaultValue: undefined });
    void this.watcher.run();
    await Promise.race([listed, this.options.clock.sleep(FIRST_LIST_LIMIT)]);
  }

  /** Whether this node is one that others would miss at once. */
  get requiresShortLease(): boolean {
    return this.areDutiesTaken;
  }

  /** Whether the lease lapses soon after this node fell silent. */
  get hasShortLease(): boolean {
    return this.lease !== NO_LEASE && this.ttl <= PROMPT_PACE.ttl;
  }

  /** This node runs jobs, relays the store or gives orders from now on, and for as long as it lives. */
  requireShortLease(): void {
    if (this.areDutiesTaken) return;
    this.areDutiesTaken = true;
    this.renewLeaseSoon();
  }

  /** Renews the lease now unless that was just done: something hints that the store is out of reach. */
  renewLeaseSoon(): void {
    const age = this.options.clock.now() - this.triedAt;
    if (this.isStopped || this.isRenewing) return;
    if (age < LEAST_RENEWAL_PAUSE && this.isPaceRight) return;
    clearTimeout(this.timer);
    void this.renew();
  }

  /** The machine may have been suspended: its lease may be over, and connections may be dead. */
  noteSuspended(): void {
    this.watcher.restart();
    this.triedAt = Number.NEGATIVE_INFINITY;
    this.renewLeaseSoon();
  }

  /** Removes this node's record, so that others need not wait for its lease to run out. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.watcher.stop();
    if (this.lease !== NO_LEASE) await this.options.store.revokeLease(this.lease);
  }

  /** Whether this life of a node is live, as far as this node knows. */
  isLive(owner: JobOwner): boolean {
    return this.live.get(owner.node)?.incarnation === owner.incarnation;
  }

  /** Names of the live nodes. */
  liveNodes(): string[] {
    return [...this.live.keys()];
  }

  /** The live life of a node. */
  incarnationOf(node: NodeId): JobOwner | undefined {
    const record = this.live.get(node);
    if (record === undefined) return undefined;
    return { node, incarnation: record.incarnation, address: record.address };
  }

  /** The live lives of all nodes. */
  liveIncarnations(): JobOwner[] {
    const lives = [...this.live];
    return lives.map(([node, { incarnation, address }]) => ({ node, incarnation, address }));
  }

  /** Where a live node is reached. */
  addressOf(node: NodeId): string | undefined {
    return this.live.get(node)?.address;
  }

  /** The zone of a live node. */
  zoneOf(node: NodeId): ZoneName | undefined {
    return this.live.get(node)?.zone;
  }

  /** Processor share of a live node's machine, in cores of ordinary speed. */
  capacityOf(node: NodeId): number {
    return this.live.get(node)?.capacity ?? 0;
  }

  /** Whether every node that may live reads a format, so that it may be written. */
  isReadByAll(format: FormatVersion): boolean {
    return this.formats.isReadByAll(format, suspendAwareTime(this.options.clock));
  }

  /** Whether the store was silent, as the renewals show, within the last time. */
  wasStoreUnreachableWithin(duration: Milliseconds): boolean {
    return this.isStoreSilent || this.options.clock.now() - this.regainedAt < duration;
  }

  /** Whether the store has not answered this node for a while, whomever else it answers. */
  get isStoreUnreachable(): boolean {
    return this.isStoreSilent && this.options.clock.now() - this.silentSince > CUT_OFF_AGE;
  }

  /** The lease of this node's record; `NO_LEASE` while there is none. */
  get leaseId(): LeaseId {
    return this.lease;
  }

  /** Time for which the lease surely goes on, by this node's own clock; negative when over. */
  leaseRemaining(): Milliseconds {
    return this.renewedAt + this.ttl - suspendAwareTime(this.options.clock);
  }

  /** Time since the store last renewed the lease, counted from when the renewal was sent. */
  renewalAge(): Milliseconds {
    return suspendAwareTime(this.options.clock) - this.renewedAt;
  }

  private take(change: StoreChange): void {
    if (!change.key.startsWith(NODE_PREFIX)) {
      if (change.key.startsWith(REPLICA_PREFIX)) this.noteReplica(change);
      this.otherChanges.next(change);
      return;
    }
    const node = change.key.slice(NODE_PREFIX.length);
    const before = this.live.get(node);
    const record = change.value === undefined ? undefined : parseNodeRecord(change.value);
    if (record === undefined) {
      this.live.delete(node);
      this.formats.noteGone(node, suspendAwareTime(this.options.clock));
    } else {
      this.live.set(node, record);
      this.formats.note(node, record.format);
    }
    if (before?.incarnation === record?.incarnation) return;
    const state = record === undefined ? 'gone' : 'live';
    const told = record === undefined ? {} : { format: record.format };
    this.options.log.state('fleet-node', { peer: node, state, ...told, live: this.live.size });
    const cause = record === undefined ? 'lease-over' : 'replaced';
    if (before !== undefined) this.terminations.next({ node, zone: before.zone, cause });
    if (record !== undefined) this.arrivals.next(node);
  }

  /** The process on a machine with a disk writes what gateways hand to it, and reads it again. */
  private noteReplica({ key, value }: StoreChange): void {
    const format = value === undefined ? undefined : replicaFormatOf(value);
    if (format !== undefined) this.formats.note(key, format);
    else if (value === undefined) this.formats.noteGone(key, suspendAwareTime(this.options.clock));
  }

  private get pace(): LeasePace {
    return this.areDutiesTaken ? PROMPT_PACE : RELAXED_PACE;
  }

  /** Whether the lease that is held is as short as this node's duties ask for. */
  private get isPaceRight(): boolean {
    return this.lease !== NO_LEASE && this.ttl <= this.pace.ttl;
  }

  private async renew(): Promise<void> {
    const sentAt = this.options.clock.now();
    const renewedAt = suspendAwareTime(this.options.clock);
    this.triedAt = sentAt;
    this.isRenewing = true;
    const isKept = this.isPaceRight ? await this.keep() : await this.register();
    this.isRenewing = false;
    if (isKept) this.renewedAt = renewedAt;
    this.noteStore(isKept, sentAt);
    if (this.isStopped) return;
    const elapsed = this.options.clock.now() - sentAt;
    // While the store is silent, its return is looked for as often as duties would ask.
    const { renewalInterval } = isKept ? this.pace : PROMPT_PACE;
    const pause = Math.max(LEAST_RENEWAL_PAUSE / 2, renewalInterval - elapsed);
    this.timer = setTimeout(() => void this.renew(), this.isPaceRight || !isKept ? pause : 0);
  }

  private noteStore(answers: boolean, sentAt: Milliseconds): void {
    if (answers === !this.isStoreSilent) return;
    this.silentSince = answers ? Number.POSITIVE_INFINITY : sentAt;
    this.isStoreSilent = !answers;
    this.options.log.state(answers ? 'store-regained' : 'store-lost');
    if (!answers) return;
    this.regainedAt = this.options.clock.now();
    this.watcher.restart();
    this.storeReconnected.next();
  }

  private async register(): Promise<boolean> {
    const { store, self, zone, log, capacity = 1 } = this.options;
    const { ttl } = this.pace;
    const grant = await store.grantLease(ttl);
    if (grant.kind !== 'granted' || this.isStopped) return false;
    const { incarnation, address } = self;
    const record: NodeRecord = { incarnation, zone, address, capacity, format: OWN_FORMAT };
    const value = JSON.stringify(record);
    const put = [{ key: `${NODE_PREFIX}${self.node}`, value, lease: grant.lease }];
    const outcome = await store.commit({ expected: [], put });
    if (outcome.kind !== 'committed') return false;
    this.lease = grant.lease;
    this.ttl = grant.ttl;
    log.state('lease-granted', { lease: grant.lease, ttlMs: grant.ttl });
    return true;
  }

  private async keep(): Promise<boolean> {
    const outcome = await this.options.store.renewLease(this.lease);
    if (outcome.kind === 'kept') return true;
    if (outcome.kind === 'gone') {
      this.options.log.state('lease-lost', { lease: this.lease });
      this.lease = NO_LEASE;
    }
    return false;
  }
}
