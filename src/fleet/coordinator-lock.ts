/**
 * Elects the coordinator, the one node that orders weight changes, with a lock key attached to the
 * holder's lease; the fencing token is the revision at which the key was created. A new holder
 * gives no order within the transfer delay after one of any other node. The record of the term names
 * the nodes that may have given such orders, as a holder may end before it has given any.
 */
import { randomUUID } from 'node:crypto';
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { JobOwner } from '../jobs/job-records.js';
import type { PeerPort } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import { type LeaseId, NO_LEASE, type SharedStore } from '../shared-store/shared-store.js';
import type { SingletonTaskLock } from '../singleton-tasks/singleton-task-lock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import {
  earlierHoldersAfter,
  isSameHolder,
  LOCK_KEY,
  namesOf,
  type TermRecord,
} from './coordinator-records.js';
import { CoordinatorView } from './coordinator-view.js';
import type { FleetRegistry } from './fleet-registry.js';
import { FENCING_TOKEN_VALIDITY, TransferWait } from './transfer-wait.js';

/** Delay per rank before a node tries to acquire a free lock. */
const RANK_DELAY: Milliseconds = 400;

/** Delay after a failed commit of the lock or the term. */
const RETRY_DELAY: Milliseconds = 300;

/** Time during which a node that resigned does not try to acquire the lock. */
const RESIGNED_BACKOFF: Milliseconds = 3_000;

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
  private readonly view: CoordinatorView;
  private isFleetListed = false;
  /** The nonce of the lock while this node holds it. */
  private ownNonce: string | undefined;
  /** The lease to which the lock of `ownNonce` is attached. */
  private ownLease: LeaseId = NO_LEASE;
  private token: Revision = 0;
  /** The nonce of this process's last term. */
  private ownTermNonce: string | undefined;
  private readonly transferWait: TransferWait;
  private nextAttemptAt: Milliseconds = 0;
  private isAcquiring = false;
  private isClearingTerm = false;
  private nextClearingAt: Milliseconds = 0;
  private resignations = 0;
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
    this.transferWait = new TransferWait(options);
    this.view = new CoordinatorView(options.store, options.clock);
    options.fleet.otherChanges.subscribe((change) => {
      this.view.apply(change);
      const isLockChanged = this.view.lock?.nonce !== this.ownNonce;
      if (this.ownNonce !== undefined && isLockChanged) this.loseLock();
    });
    options.fleet.listed.subscribe(() => {
      this.isFleetListed = true;
      this.view.restartDelays();
    });
  }

  /** The node that holds the lock according to the last change received. */
  get holder(): NodeId | undefined {
    return this.view.lock?.node;
  }

  /** Revision at which the lock was last acquired; it differs for each holder. */
  get term(): Revision {
    return this.view.lockRevision;
  }

  /** The fencing token while this node may give orders; `undefined` otherwise. */
  fencingToken(): Revision | undefined {
    const { fleet } = this.options;
    if (this.ownNonce === undefined || !this.transferWait.isOver) return undefined;
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
   * Stops giving orders at another node's request, also under a lock that is being acquired. Returns
   * the time since the last order of this node ended, or since this incarnation started; less if this
   * node still waits for the orders of earlier holders, as the caller may not know of them. 0 means
   * that an order may still be in flight.
   */
  resign(): Milliseconds {
    const { clock } = this.options;
    this.resignations += 1;
    if (this.ownNonce !== undefined) this.loseLock();
    this.nextAttemptAt = clock.now() + RESIGNED_BACKOFF;
    if (this.ordersInFlight > 0) return 0;
    return Math.min(clock.now() - this.lastOrderEndedAt, this.transferWait.earlierOrderAge);
  }

  /**
   * Acquires the lock from a suspected holder without waiting for its lease to expire, if the
   * holder resigns or its process has terminated. A holder that does not answer may still give
   * orders.
   */
  async takeOverFrom(holder: JobOwner): Promise<void> {
    const { lock } = this.view;
    if (lock === undefined || lock.nonce === this.ownNonce || !isSameHolder(lock, holder)) return;
    const outcome = await this.transferWait.requestResignation(holder.address);
    // A holder that has not resigned may still give orders.
    if (outcome.kind === 'silent' || outcome.kind === 'unsupported') return;
    this.options.log.state('coordinator-given-up', { peer: holder.node, cause: outcome.kind });
    this.abandonedNonce = lock.nonce;
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
    if (this.ownNonce !== undefined) this.clearTermWhenDue();
    if (!this.isLockAvailable) return;
    const attemptRank = this.isLockAbandoned ? 0 : this.attemptRank();
    if (clock.now() - this.view.freeSince < attemptRank * RANK_DELAY) return;
    // The lock needs a lease that expires soon after its holder stops answering.
    fleet.requireShortLease();
    if (!fleet.hasShortLease || fleet.renewalAge() >= FENCING_TOKEN_VALIDITY) {
      fleet.renewLeaseSoon();
      return;
    }
    this.isAcquiring = true;
    void this.acquire().finally(() => {
      this.isAcquiring = false;
      this.view.restartDelays();
      if (this.ownNonce !== undefined) return;
      this.nextAttemptAt = Math.max(this.nextAttemptAt, clock.now() + RETRY_DELAY);
    });
  }

  /** Whether the lock is free, or its holder certainly gives no more orders under it. */
  private get isLockAvailable(): boolean {
    if (this.view.lock === undefined) return true;
    return this.isHeldByEarlierIncarnation || this.isLockAbandoned;
  }

  private get isLockAbandoned(): boolean {
    const { lock } = this.view;
    return lock !== undefined && lock.nonce === this.abandonedNonce;
  }

  /**
   * Whether an earlier incarnation of this node, which has certainly terminated, holds the lock.
   */
  private get isHeldByEarlierIncarnation(): boolean {
    const { lock } = this.view;
    return isSameHolder(lock, this.options.self) && lock?.nonce !== this.ownNonce;
  }

  /**
   * Number of delays to wait before an attempt; after the first term, the last holder goes first.
   */
  private attemptRank(): number {
    if (isSameHolder(this.view.term, this.options.self)) return 0;
    return this.view.isBeforeFirstTerm ? this.rank() : 1 + this.rank();
  }

  private rank(): number {
    const nodes = rendezvousOrder(LOCK_KEY, this.options.fleet.liveNodes(), (node) => node);
    return Math.max(0, nodes.indexOf(this.options.self.node));
  }

  private async acquire(): Promise<void> {
    const { view, resignations } = this;
    const { fleet, self } = this.options;
    const { term: lastTerm, isBeforeFirstTerm } = view;
    const lease = fleet.leaseId;
    const earlierHolders = isBeforeFirstTerm ? [] : earlierHoldersAfter(lastTerm, self);
    const { node, address } = self;
    const nonce = randomUUID();
    const term: TermRecord = { node, address, nonce, ...(earlierHolders && { earlierHolders }) };
    const revision = await view.acquire(lease, term);
    // Another node may have acquired the lock since this one resigned.
    if (revision === undefined || resignations !== this.resignations) return;
    const isOwnTermContinued = lastTerm !== undefined && lastTerm.nonce === this.ownTermNonce;
    this.ownNonce = nonce;
    this.ownTermNonce = nonce;
    this.ownLease = lease;
    this.token = revision;
    await this.awaitEarlierHolders(term, isOwnTermContinued);
  }

  /** Begins the wait of a new term; a term that continues this node's last one keeps its wait. */
  private async awaitEarlierHolders(
    { nonce, earlierHolders }: TermRecord,
    isOwnTermContinued: boolean,
  ): Promise<void> {
    const { transferWait } = this;
    let shortened: Promise<void> | undefined;
    if (earlierHolders?.length === 0) transferWait.skip();
    else if (!isOwnTermContinued) {
      shortened = transferWait.begin(earlierHolders, () => this.ownNonce === nonce);
    }
    this.options.log.state('coordinator-acquired', {
      fencingToken: this.token,
      mayActAtOnce: transferWait.isOver,
      earlierHolders: earlierHolders === undefined ? 'unknown' : namesOf(earlierHolders),
    });
    await shortened;
  }

  /**
   * Removes the earlier holders from the term once the wait for their orders is over, so that this
   * node need not wait for them again after a restart.
   */
  private clearTermWhenDue(): void {
    const { ownNonce, transferWait, isClearingTerm, view } = this;
    const { clock } = this.options;
    if (isClearingTerm || !transferWait.isOver || clock.now() < this.nextClearingAt) return;
    const { term } = view;
    if (term === undefined || term.nonce !== ownNonce || term.earlierHolders?.length === 0) return;
    this.isClearingTerm = true;
    void view.replaceTerm({ ...term, earlierHolders: [] }).finally(() => {
      this.isClearingTerm = false;
      this.nextClearingAt = clock.now() + RETRY_DELAY;
    });
  }

  private loseLock(): void {
    this.ownNonce = undefined;
    this.options.log.state('coordinator-lost', { fencingToken: this.token });
  }
}
