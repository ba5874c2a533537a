/**
 * The lock of the fleet's coordinator: the one node that orders weights. Its key hangs on the
 * holder's lease; the fencing token is the revision at which the key was made, so it rises with
 * each holder. A token is used only while the very lease that the lock hangs on was renewed a short
 * time ago. A new holder waits until orders of the one before can no longer be under way, even if
 * the lock was taken away from a holder that could not learn of it. It asks that one to resign: a
 * holder that answers gives no more orders and tells when its last one ended, so the wait is shorter.
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

const LOCK = z.object({ node: z.string(), address: z.string(), nonce: z.string() });

/** Who holds the lock, or held it last. */
type LockRecord = z.infer<typeof LOCK>;

/** Time by which each rank lets the nodes before it take a free lock. */
const RANK_DELAY: Milliseconds = 400;

/** Time after a renewal of its lease was sent in which the holder may give orders. */
export const FENCING_TOKEN_VALIDITY: Milliseconds = 1_000;

/** Pause after an attempt that did not get the lock. */
const RETRY_PAUSE: Milliseconds = 300;

/** Time for the holder of before to answer. */
const RESIGN_LIMIT: Milliseconds = 400;

/** Time for which a holder that resigned leaves the lock to others. */
const RESIGNED_PAUSE: Milliseconds = 3_000;

/** Kept beyond the least time between two holders' orders, as messages take some time. */
const HAND_OVER_MARGIN: Milliseconds = 100;

/** Options of {@link CoordinatorLock}. */
export interface CoordinatorLockOptions {
  readonly store: SharedStore;
  readonly fleet: FleetRegistry;
  readonly self: JobOwner;
  readonly peers: PeerPort;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Least time between the last order of one holder and the first of the next. */
  readonly handOverDelay: () => Milliseconds;
  /** Whether workers refuse orders under a lower token than they have seen. */
  readonly areTokensChecked: () => boolean;
}

/** Takes the lock when it is free, and tells whether this node may give orders. */
export class CoordinatorLock implements SingletonTaskLock {
  private holding: LockRecord | undefined;
  private lockRevision: Revision = ABSENT;
  private isKnown = false;
  private ownNonce: string | undefined;
  /** The lease that the lock of `ownNonce` hangs on. */
  private ownLease: LeaseId = NO_LEASE;
  private token: Revision = 0;
  private termRevision: Revision = ABSENT;
  /** The last holder, also after its lock was gone. */
  private lastHolder: LockRecord | undefined;
  private activeFrom: Milliseconds = Number.POSITIVE_INFINITY;
  private freeSince: Milliseconds = 0;
  private notBefore: Milliseconds = 0;
  private isTrying = false;
  private ordersUnderWay = 0;
  /** A former life of this machine may have given orders until this one began. */
  private lastOrderAt: Milliseconds;
  /** The lock record of a holder that resigned or is gone, though its lease may go on. */
  private givenUpNonce: string | undefined;

  constructor(private readonly options: CoordinatorLockOptions) {
    this.lastOrderAt = options.clock.now();
    options.fleet.otherChanges.subscribe((change) => this.take(change));
    options.fleet.listed.subscribe(() => {
      this.isKnown = true;
      this.freeSince = options.clock.now();
    });
  }

  /** The node that holds the lock, as far as this node knows. */
  get holder(): NodeId | undefined {
    return this.holding?.node;
  }

  /** Revision at which the lock was last taken; it changes with each holder. */
  get term(): Revision {
    return this.lockRevision;
  }

  /** The fencing token while this node may give orders; `undefined` otherwise. */
  fencingToken(): Revision | undefined {
    const { fleet, clock } = this.options;
    if (this.ownNonce === undefined || clock.now() < this.activeFrom) return undefined;
    if (fleet.leaseId !== this.ownLease) return undefined;
    return fleet.renewalAge() < FENCING_TOKEN_VALIDITY ? this.token : undefined;
  }

  /** The token for one order; {@link endOrder} is called once the order is answered or given up. */
  beginOrder(): Revision | undefined {
    const token = this.fencingToken();
    if (token !== undefined) this.ordersUnderWay += 1;
    return token;
  }

  /** An order that {@link beginOrder} allowed is under way no longer. */
  endOrder(): void {
    this.ordersUnderWay -= 1;
    this.lastOrderAt = this.options.clock.now();
  }

  /**
   * Gives no more orders for another node's sake; the time since this machine's last one ended, at
   * the latest when this life of it began.
   */
  resign(): Milliseconds {
    const { clock } = this.options;
    if (this.ownNonce !== undefined) this.lose();
    this.notBefore = clock.now() + RESIGNED_PAUSE;
    return this.ordersUnderWay > 0 ? 0 : clock.now() - this.lastOrderAt;
  }

  /**
   * Takes the lock from a holder that is suspected, without waiting for its lease: one that resigns
   * or whose process is gone gives no more orders. One that is silent may still give some.
   */
  async takeOverFrom(holder: JobOwner): Promise<void> {
    const { holding } = this;
    if (holding === undefined || holding.nonce === this.ownNonce) return;
    if (holding.node !== holder.node || holding.address !== holder.address) return;
    const outcome = await this.askToResign(holder.address);
    // One that has not acted on it may still give orders.
    if (outcome.kind === 'silent' || outcome.kind === 'unsupported') return;
    this.options.log.state('coordinator-given-up', { peer: holder.node, cause: outcome.kind });
    this.givenUpNonce = holding.nonce;
    this.tick();
  }

  /** A worker refused this token for a lower one than it knows: it is not used again. */
  noteRefused(token: Revision): void {
    if (this.ownNonce !== undefined && token === this.token) this.lose();
  }

  /** Tries to take a lock that has been free for this node's turn. */
  tick(): void {
    const { fleet, clock } = this.options;
    if (!this.isKnown || this.isTrying || clock.now() < this.notBefore) return;
    // With the lease before went the lock, whether or not a watch has told so.
    if (this.ownNonce !== undefined && fleet.leaseId !== this.ownLease) this.lose();
    if (this.holding !== undefined && !this.isHeldByFormerLife && !this.isGivenUp) return;
    const turn = this.isGivenUp ? 0 : this.turn();
    if (clock.now() - this.freeSince < turn * RANK_DELAY) return;
    // The lock hangs on a lease that lapses soon after its holder fell silent.
    fleet.requireShortLease();
    if (!fleet.hasShortLease || fleet.renewalAge() >= FENCING_TOKEN_VALIDITY) {
      fleet.renewLeaseSoon();
      return;
    }
    this.isTrying = true;
    void this.acquire().finally(() => {
      this.isTrying = false;
      this.freeSince = clock.now();
      if (this.ownNonce === undefined) this.notBefore = clock.now() + RETRY_PAUSE;
    });
  }

  private get isGivenUp(): boolean {
    return this.holding !== undefined && this.holding.nonce === this.givenUpNonce;
  }

  /** Whether a former life of this machine holds the lock: that process surely has ended. */
  private get isHeldByFormerLife(): boolean {
    return this.isThisMachine(this.holding) && this.holding?.nonce !== this.ownNonce;
  }

  private isThisMachine(record: LockRecord | undefined): boolean {
    const { self } = this.options;
    return record?.node === self.node && record.address === self.address;
  }

  /** How many turns this node lets others go first; after the first term, the last holder. */
  private turn(): number {
    if (this.isThisMachine(this.lastHolder)) return 0;
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
    const revision = outcome.kind === 'committed' ? outcome.revision : await this.settle(nonce);
    if (revision === undefined) return;
    // Where no other machine gave orders since this one did, there is nobody to wait for.
    const mayActAtOnce = termRevision === ABSENT || this.isThisMachine(lastHolder);
    this.lastHolder = record;
    this.termRevision = revision;
    this.ownNonce = nonce;
    this.ownLease = lease;
    this.holding = record;
    this.lockRevision = revision;
    this.token = revision;
    this.activeFrom = clock.now() + (mayActAtOnce ? 0 : this.handOverDelay());
    log.state('coordinator-acquired', { fencingToken: revision, mayActAtOnce });
    if (!mayActAtOnce && lastHolder !== undefined) await this.shortenWait(lastHolder, nonce);
  }

  /** Has the holder of before resign; what it tells of its last order may shorten the wait. */
  private async shortenWait(previous: LockRecord, nonce: string): Promise<void> {
    const { clock, log, handOverDelay } = this.options;
    const outcome = await this.askToResign(previous.address);
    if (outcome.kind !== 'answered' || this.ownNonce !== nonce) return;
    const { lastOrderAge } = outcome.answer;
    const wait = Math.max(0, handOverDelay() + HAND_OVER_MARGIN - lastOrderAge);
    this.activeFrom = Math.min(this.activeFrom, clock.now() + wait);
    log.state('coordinator-resigned', { peer: previous.node, waitMs: Math.round(wait) });
  }

  private askToResign(address: string): Promise<PeerOutcome<'resign-coordinator'>> {
    const request = { kind: 'resign-coordinator' } as const;
    return this.options.peers.request<'resign-coordinator'>(address, request, RESIGN_LIMIT);
  }

  /**
   * Where workers check tokens, a holder of before that could not learn of its loss does no harm;
   * elsewhere it may give orders until its last renewal is too old.
   */
  private handOverDelay(): Milliseconds {
    const { handOverDelay, areTokensChecked } = this.options;
    return handOverDelay() + (areTokensChecked() ? 0 : FENCING_TOKEN_VALIDITY);
  }

  /**
   * After a lost answer or a conflict: whether the lock is this attempt's. Both records are read, as
   * a watch that fell behind may not have told of them.
   */
  private async settle(nonce: string): Promise<Revision | undefined> {
    const { store } = this.options;
    const lock = await store.get(LOCK_KEY);
    if (lock.kind !== 'item') return undefined;
    const { item } = lock;
    if (item !== undefined && parseLock(item.value)?.nonce === nonce) return item.revision;
    const term = await store.get(TERM_KEY);
    if (term.kind === 'item' && term.item !== undefined) this.take(term.item);
    if (item !== undefined) this.take(item);
    else if (this.holding !== undefined) this.noteFree();
    return undefined;
  }

  private noteFree(): void {
    this.holding = undefined;
    this.lockRevision = ABSENT;
    this.freeSince = this.options.clock.now();
  }

  private lose(): void {
    this.ownNonce = undefined;
    this.options.log.state('coordinator-lost', { fencingToken: this.token });
  }

  private take(change: StoreChange): void {
    if (change.key === TERM_KEY && change.value !== undefined) {
      if (change.revision < this.termRevision) return;
      this.termRevision = change.revision;
      this.lastHolder = parseLock(change.value);
    }
    if (change.key !== LOCK_KEY || change.revision < this.lockRevision) return;
    const lock = change.value === undefined ? undefined : parseLock(change.value);
    this.holding = lock;
    this.lockRevision = change.revision;
    if (change.value === undefined) this.noteFree();
    if (this.ownNonce !== undefined && lock?.nonce !== this.ownNonce) this.lose();
  }
}

function parseLock(text: string): LockRecord | undefined {
  try {
    return LOCK.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
