/**
 * Elects the coordinator, the one node that orders weight changes, with a lock key attached to the
 * holder's lease; the fencing token is the revision at which the key was created. A new holder
 * gives no order while one of the previous holder may still be in flight.
 */
import { randomUUID } from 'node:crypto';
import * as z from 'zod';
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { JobOwner } from '../jobs/job-records.js';
import type { PeerOutcome, PeerPort } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import {
  ABSENT,
  type LeaseId,
  NO_LEASE,
  type SharedStore,
  type StoreChange,
} from '../shared-store/shared-store.js';
import type { SingletonTaskLock } from '../singleton-tasks/singleton-task-lock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { FLEET_PREFIX, type FleetRegistry } from './fleet-registry.js';

const LOCK_KEY = `${FLEET_PREFIX}coordinator`;
const TERM_KEY = `${FLEET_PREFIX}coordinator-term`;

const LOCK_RECORD = z.object({ node: z.string(), address: z.string(), nonce: z.string() });

/** A holder of the lock, as stored in the lock record. */
type LockRecord = z.infer<typeof LOCK_RECORD>;

/** Delay per rank before a node tries to acquire a free lock. */
const RANK_DELAY: Milliseconds = 400;

/** Time after sending a renewal of its lease during which the holder may give orders. */
export const FENCING_TOKEN_VALIDITY: Milliseconds = 1_000;

/** Delay after a failed attempt to acquire the lock. */
const RETRY_DELAY: Milliseconds = 300;

/** Timeout of the request to resign to the previous holder. */
const RESIGN_TIMEOUT: Milliseconds = 400;

/** Time during which a node that resigned does not try to acquire the lock. */
const RESIGNED_BACKOFF: Milliseconds = 3_000;

/** Allowance for message latency, added to the minimum time between two holders' orders. */
const TRANSFER_MARGIN: Milliseconds = 100;

export interface CoordinatorLockOptions {
  readonly store: SharedStore;
  readonly fleet: FleetRegistry;
  readonly self: JobOwner;
  readonly peers: PeerPort;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Minimum time between the last order of one holder and the first of the next. */
  readonly transferDelay: () => Milliseconds;
  /** Whether workers reject orders with a lower fencing token than they have seen. */
  readonly areTokensChecked: () => boolean;
}

/** Acquires the lock when it is free, and reports whether this node may give orders. */
export class CoordinatorLock implements SingletonTaskLock {
  private currentLock: LockRecord | undefined;
  private lockRevision: Revision = ABSENT;
  private isFleetListed = false;
  private ownNonce: string | undefined;
  /** The lease to which the lock of `ownNonce` is attached. */
  private ownLease: LeaseId = NO_LEASE;
  private token: Revision = 0;
  private termRevision: Revision = ABSENT;
  /** The last holder, also after its lock was removed. */
  private lastHolder: LockRecord | undefined;
  private ordersAllowedFrom: Milliseconds = Number.POSITIVE_INFINITY;
  private freeSince: Milliseconds = 0;
  private nextAttemptAt: Milliseconds = 0;
  private isAcquiring = false;
  private ordersInFlight = 0;
  /**
   * Time at which the last order of this node ended; initially its start time, because an earlier
   * incarnation may have given orders until then.
   */
  private lastOrderEndedAt: Milliseconds;
  /** The nonce of a holder that resigned or terminated, though its lease may still be valid. */
  private abandonedNonce: string | undefined;

  constructor(private readonly options: CoordinatorLockOptions) {
    this.lastOrderEndedAt = options.clock.now();
    options.fleet.otherChanges.subscribe((change) => this.applyChange(change));
    options.fleet.listed.subscribe(() => {
      this.isFleetListed = true;
      this.freeSince = options.clock.now();
    });
  }

  /** The node that holds the lock according to the last change received. */
  get holder(): NodeId | undefined {
    return this.currentLock?.node;
  }

  /** Revision at which the lock was last acquired; it differs for each holder. */
  get term(): Revision {
    return this.lockRevision;
  }

  /** The fencing token while this node may give orders; `undefined` otherwise. */
  fencingToken(): Revision | undefined {
    const { fleet, clock } = this.options;
    if (this.ownNonce === undefined || clock.now() < this.ordersAllowedFrom) return undefined;
    if (fleet.leaseId !== this.ownLease) return undefined;
    return fleet.renewalAge() < FENCING_TOKEN_VALIDITY ? this.token : undefined;
  }

  /**
   * The fencing token for one order; {@link endOrder} must be called once the order is answered or
   * abandoned.
   */
  beginOrder(): Revision | undefined {
    const token = this.fencingToken();
    if (token !== undefined) this.ordersInFlight += 1;
    return token;
  }

  /** Ends an order that {@link beginOrder} allowed. */
  endOrder(): void {
    this.ordersInFlight -= 1;
    this.lastOrderEndedAt = this.options.clock.now();
  }

  /**
   * Stops giving orders at another node's request. Returns the time since the last order of this
   * node ended, or since this incarnation started.
   */
  resign(): Milliseconds {
    const { clock } = this.options;
    if (this.ownNonce !== undefined) this.loseLock();
    this.nextAttemptAt = clock.now() + RESIGNED_BACKOFF;
    return this.ordersInFlight > 0 ? 0 : clock.now() - this.lastOrderEndedAt;
  }

  /**
   * Acquires the lock from a suspected holder without waiting for its lease to expire, if the
   * holder resigns or its process has terminated. A holder that does not answer may still give
   * orders.
   */
  async takeOverFrom(holder: JobOwner): Promise<void> {
    const { currentLock } = this;
    if (currentLock === undefined || currentLock.nonce === this.ownNonce) return;
    if (currentLock.node !== holder.node || currentLock.address !== holder.address) return;
    const outcome = await this.requestResignation(holder.address);
    // A holder that has not resigned may still give orders.
    if (outcome.kind === 'silent' || outcome.kind === 'unsupported') return;
    this.options.log.state('coordinator-given-up', { peer: holder.node, cause: outcome.kind });
    this.abandonedNonce = currentLock.nonce;
    this.tick();
  }

  /** Discards a token that a worker rejected because it has seen a higher one. */
  noteRefused(token: Revision): void {
    if (this.ownNonce !== undefined && token === this.token) this.loseLock();
  }

  /** Tries to acquire the lock once it has been free for the delay of this node's rank. */
  tick(): void {
    const { fleet, clock } = this.options;
    if (!this.isFleetListed || this.isAcquiring || clock.now() < this.nextAttemptAt) return;
    // The lock expired with the previous lease, whether or not a watch has reported it.
    if (this.ownNonce !== undefined && fleet.leaseId !== this.ownLease) this.loseLock();
    if (this.currentLock !== undefined && !this.isHeldByEarlierIncarnation && !this.isLockAbandoned)
      return;
    const attemptRank = this.isLockAbandoned ? 0 : this.attemptRank();
    if (clock.now() - this.freeSince < attemptRank * RANK_DELAY) return;
    // The lock needs a lease that expires soon after its holder stops answering.
    fleet.requireShortLease();
    if (!fleet.hasShortLease || fleet.renewalAge() >= FENCING_TOKEN_VALIDITY) {
      fleet.renewLeaseSoon();
      return;
    }
    this.isAcquiring = true;
    void this.acquire().finally(() => {
      this.isAcquiring = false;
      this.freeSince = clock.now();
      if (this.ownNonce === undefined) this.nextAttemptAt = clock.now() + RETRY_DELAY;
    });
  }

  private get isLockAbandoned(): boolean {
    return this.currentLock !== undefined && this.currentLock.nonce === this.abandonedNonce;
  }

  /**
   * Whether an earlier incarnation of this node, which has certainly terminated, holds the lock.
   */
  private get isHeldByEarlierIncarnation(): boolean {
    return this.isThisNode(this.currentLock) && this.currentLock?.nonce !== this.ownNonce;
  }

  private isThisNode(record: LockRecord | undefined): boolean {
    const { self } = this.options;
    return record?.node === self.node && record.address === self.address;
  }

  /**
   * Number of delays to wait before an attempt; after the first term, the last holder goes first.
   */
  private attemptRank(): number {
    if (this.isThisNode(this.lastHolder)) return 0;
    return this.termRevision === ABSENT ? this.rank() : 1 + this.rank();
  }

  private rank(): number {
    const nodes = rendezvousOrder(LOCK_KEY, this.options.fleet.liveNodes(), (node) => node);
    return Math.max(0, nodes.indexOf(this.options.self.node));
  }

  private async acquire(): Promise<void> {
    const { store, fleet, self, clock, log } = this.options;
    const nonce = randomUUID();
    const { termRevision, lockRevision, lastHolder } = this;
    const lease = fleet.leaseId;
    const record: LockRecord = { node: self.node, address: self.address, nonce };
    const value = JSON.stringify(record);
    const outcome = await store.commit({
      expected: [
        { key: LOCK_KEY, revision: lockRevision },
        { key: TERM_KEY, revision: termRevision },
      ],
      put: [
        { key: LOCK_KEY, value, lease },
        { key: TERM_KEY, value },
      ],
    });
    const revision =
      outcome.kind === 'committed' ? outcome.revision : await this.resolveUnconfirmedCommit(nonce);
    if (revision === undefined) return;
    // No wait is needed if no other node can have given orders since this one did.
    const mayActAtOnce = termRevision === ABSENT || this.isThisNode(lastHolder);
    this.lastHolder = record;
    this.termRevision = revision;
    this.ownNonce = nonce;
    this.ownLease = lease;
    this.currentLock = record;
    this.lockRevision = revision;
    this.token = revision;
    this.ordersAllowedFrom = clock.now() + (mayActAtOnce ? 0 : this.maxTransferDelay());
    log.state('coordinator-acquired', { fencingToken: revision, mayActAtOnce });
    if (!mayActAtOnce && lastHolder !== undefined) await this.shortenWait(lastHolder, nonce);
  }

  /** Asks the previous holder to resign; the age of its last order may shorten the wait. */
  private async shortenWait(previous: LockRecord, nonce: string): Promise<void> {
    const { clock, log, transferDelay } = this.options;
    const outcome = await this.requestResignation(previous.address);
    if (outcome.kind !== 'answered' || this.ownNonce !== nonce) return;
    const { lastOrderAge } = outcome.answer;
    const wait = Math.max(0, transferDelay() + TRANSFER_MARGIN - lastOrderAge);
    this.ordersAllowedFrom = Math.min(this.ordersAllowedFrom, clock.now() + wait);
    log.state('coordinator-resigned', { peer: previous.node, waitMs: Math.round(wait) });
  }

  private requestResignation(address: string): Promise<PeerOutcome<'resign-coordinator'>> {
    const request = { kind: 'resign-coordinator' } as const;
    return this.options.peers.request<'resign-coordinator'>(address, request, RESIGN_TIMEOUT);
  }

  /**
   * Returns the wait after a change of holder. If workers do not check tokens, the previous holder
   * may still give orders until its last lease renewal is too old.
   */
  private maxTransferDelay(): Milliseconds {
    const { transferDelay, areTokensChecked } = this.options;
    return transferDelay() + (areTokensChecked() ? 0 : FENCING_TOKEN_VALIDITY);
  }

  /**
   * After an unanswered or conflicting commit: the revision of the lock if this attempt acquired
   * it. Both records are read, as a watch may lag behind.
   */
  private async resolveUnconfirmedCommit(nonce: string): Promise<Revision | undefined> {
    const { store } = this.options;
    const lock = await store.get(LOCK_KEY);
    if (lock.kind !== 'item') return undefined;
    const { item } = lock;
    if (item !== undefined && parseLock(item.value)?.nonce === nonce) return item.revision;
    const term = await store.get(TERM_KEY);
    if (term.kind === 'item' && term.item !== undefined) this.applyChange(term.item);
    if (item !== undefined) this.applyChange(item);
    else if (this.currentLock !== undefined) this.markFree();
    return undefined;
  }

  private markFree(): void {
    this.currentLock = undefined;
    this.lockRevision = ABSENT;
    this.freeSince = this.options.clock.now();
  }

  private loseLock(): void {
    this.ownNonce = undefined;
    this.options.log.state('coordinator-lost', { fencingToken: this.token });
  }

  private applyChange(change: StoreChange): void {
    if (change.key === TERM_KEY && change.value !== undefined) {
      if (change.revision < this.termRevision) return;
      this.termRevision = change.revision;
      this.lastHolder = parseLock(change.value);
    }
    if (change.key !== LOCK_KEY || change.revision < this.lockRevision) return;
    const lock = change.value === undefined ? undefined : parseLock(change.value);
    this.currentLock = lock;
    this.lockRevision = change.revision;
    if (change.value === undefined) this.markFree();
    if (this.ownNonce !== undefined && lock?.nonce !== this.ownNonce) this.loseLock();
  }
}

function parseLock(text: string): LockRecord | undefined {
  try {
    return LOCK_RECORD.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
