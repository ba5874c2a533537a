/**
 * The live nodes of the fleet. Each node keeps a record under a lease in the shared store; a node
 * whose lease ran out counts as gone. A lease may lapse while its node lives, so nothing that must
 * stay true rests on it: a node that is wrongly taken for gone loses work, never correctness.
 */
import { Subject } from 'rxjs';
import * as z from 'zod';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { JobOwner } from '../jobs/job-records.js';
import type { Clock } from '../serving/clock.js';
import { PrefixWatcher } from '../shared-store/prefix-watcher.js';
import {
  type LeaseId,
  NO_LEASE,
  type SharedStore,
  type StoreChange,
} from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

/** Where the records of nodes and of the coordinator lie. */
export const FLEET_PREFIX = 'fleet/';
const NODE_PREFIX = `${FLEET_PREFIX}node/`;

/** Life of a node's lease after its last renewal, and time between renewals. */
export const LEASE_TTL: Milliseconds = 2_000;
const RENEWAL_INTERVAL: Milliseconds = 600;

/** A node whose last renewal is older than this, and whose newest one failed, counts as cut off. */
const CUT_OFF_AGE: Milliseconds = 1_000;

const NODE_RECORD = z.object({ incarnation: z.string(), zone: z.string(), address: z.string() });

/** What a node tells of itself. */
type NodeRecord = z.infer<typeof NODE_RECORD>;

/** A life of a node that ended; a node that is replaced is surely gone, its lease may just lapse. */
export interface Departure {
  readonly node: NodeId;
  readonly cause: 'replaced' | 'lease-over';
}

/** Options of {@link FleetRegistry}. */
export interface FleetRegistryOptions {
  readonly store: SharedStore;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Knows which lives of nodes are live, and keeps this node's own record. */
export class FleetRegistry {
  /** Fires after a node left or was replaced by a new life. */
  readonly departures = new Subject<Departure>();
  /** Changes under the fleet's prefix that are not about nodes. */
  readonly otherChanges = new Subject<StoreChange>();
  /** Fires when the store answers again after a renewal went unanswered. */
  readonly storeRegained = new Subject<void>();
  /** Fires once the fleet was listed whole. */
  readonly listed = new Subject<void>();
  private readonly live = new Map<NodeId, NodeRecord>();
  private readonly watcher: PrefixWatcher;
  private lease: LeaseId = NO_LEASE;
  private renewedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private isStoreSilent = false;
  private regainedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: FleetRegistryOptions) {
    this.watcher = new PrefixWatcher({ store: options.store, prefix: FLEET_PREFIX });
    this.watcher.updates.subscribe(({ changes, listed }) => {
      for (const change of changes) this.take(change);
      if (listed) this.listed.next();
    });
    this.watcher.health.subscribe((health) =>
      options.log.state('store-watch', { prefix: FLEET_PREFIX, health }),
    );
  }

  /** Registers this node and follows the others. */
  start(): void {
    void this.watcher.run();
    void this.renew();
  }

  /** Removes this node's record, so that others need not wait for its lease to run out. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.watcher.stop();
    if (this.lease !== NO_LEASE) await this.options.store.endLease(this.lease);
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
  ownerOf(node: NodeId): JobOwner | undefined {
    const record = this.live.get(node);
    if (record === undefined) return undefined;
    return { node, incarnation: record.incarnation, address: record.address };
  }

  /** Where a live node is reached. */
  addressOf(node: NodeId): string | undefined {
    return this.live.get(node)?.address;
  }

  /** The zone of a live node. */
  zoneOf(node: NodeId): ZoneName | undefined {
    return this.live.get(node)?.zone;
  }

  /** Whether the store was silent, as the renewals show, within the last time. */
  wasSilentWithin(duration: Milliseconds): boolean {
    return this.isStoreSilent || this.options.clock.now() - this.regainedAt < duration;
  }

  /** Whether the store has not answered this node for a while, whomever else it answers. */
  get isCutOff(): boolean {
    return this.isStoreSilent && this.renewalAge() > CUT_OFF_AGE;
  }

  /** The lease of this node's record; `NO_LEASE` while there is none. */
  get leaseId(): LeaseId {
    return this.lease;
  }

  /** Time for which the lease surely goes on, by this node's own clock; negative when over. */
  leaseRemaining(): Milliseconds {
    return this.renewedAt + LEASE_TTL - this.options.clock.now();
  }

  /** Time since the store last renewed the lease, counted from when the renewal was sent. */
  renewalAge(): Milliseconds {
    return this.options.clock.now() - this.renewedAt;
  }

  private take(change: StoreChange): void {
    if (!change.key.startsWith(NODE_PREFIX)) {
      this.otherChanges.next(change);
      return;
    }
    const node = change.key.slice(NODE_PREFIX.length);
    const before = this.live.get(node);
    const record = change.value === undefined ? undefined : parseRecord(change.value);
    if (record === undefined) this.live.delete(node);
    else this.live.set(node, record);
    if (before?.incarnation === record?.incarnation) return;
    const state = record === undefined ? 'gone' : 'live';
    this.options.log.state('fleet-node', { peer: node, state, live: this.live.size });
    const cause = record === undefined ? 'lease-over' : 'replaced';
    if (before !== undefined) this.departures.next({ node, cause });
  }

  private async renew(): Promise<void> {
    const sentAt = this.options.clock.now();
    const isKept = this.lease === NO_LEASE ? await this.register() : await this.keep();
    if (isKept) this.renewedAt = sentAt;
    this.noteStore(isKept);
    if (this.isStopped) return;
    const elapsed = this.options.clock.now() - sentAt;
    this.timer = setTimeout(() => void this.renew(), Math.max(50, RENEWAL_INTERVAL - elapsed));
  }

  private noteStore(answers: boolean): void {
    if (answers === !this.isStoreSilent) return;
    this.isStoreSilent = !answers;
    this.options.log.state(answers ? 'store-regained' : 'store-lost');
    if (!answers) return;
    this.regainedAt = this.options.clock.now();
    this.watcher.restart();
    this.storeRegained.next();
  }

  private async register(): Promise<boolean> {
    const { store, self, zone, log } = this.options;
    const grant = await store.grantLease(LEASE_TTL);
    if (grant.kind !== 'granted' || this.isStopped) return false;
    const value = JSON.stringify({ incarnation: self.incarnation, zone, address: self.address });
    const put = [{ key: `${NODE_PREFIX}${self.node}`, value, lease: grant.lease }];
    const outcome = await store.commit({ expected: [], put });
    if (outcome.kind !== 'committed') return false;
    this.lease = grant.lease;
    log.state('lease-granted', { lease: grant.lease });
    return true;
  }

  private async keep(): Promise<boolean> {
    const outcome = await this.options.store.keepLease(this.lease);
    if (outcome.kind === 'kept') return true;
    if (outcome.kind === 'gone') {
      this.options.log.state('lease-lost', { lease: this.lease });
      this.lease = NO_LEASE;
    }
    return false;
  }
}

function parseRecord(text: string): NodeRecord | undefined {
  try {
    return NODE_RECORD.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
