/**
 * Nodes that compete for the coordinator lock in virtual time, between a store whose leases expire and
 * workers that receive orders. Nodes are killed, stopped, frozen and cut off from the store.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Subject } from 'rxjs';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds, Revision } from '../../src/core/units.js';
import { CoordinatorLock } from '../../src/fleet/coordinator-lock.js';
import type { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import type { JobOwner } from '../../src/jobs/job-records.js';
import type { PeerOutcome, PeerPort } from '../../src/peers/peer-messages.js';
import type { Clock } from '../../src/serving/clock.js';
import {
  type LeaseId,
  NO_LEASE,
  type SharedStore,
  type StoreChange,
  type StoreCommit,
  type StoreFailure,
} from '../../src/shared-store/shared-store.js';
import { VirtualClock } from '../jobs/virtual-clock.js';
import { recordingLog } from '../serving/serving-fixtures.js';

/** Minimum time between the orders of two nodes. */
export const TRANSFER_DELAY: Milliseconds = 3_000;

const STEP: Milliseconds = 10;
const TICK_INTERVAL: Milliseconds = 50;
const LEASE_TTL: Milliseconds = 2_000;
const RENEWAL_INTERVAL: Milliseconds = 600;
const CALL_TIMEOUT: Milliseconds = 900;
const RESIGN_TIMEOUT: Milliseconds = 400;
/** Longest time after which the store carries out a commit without an answer. */
const MAX_LATE_COMMIT: Milliseconds = 6_000;
/** Longest time until a node learns of a change. */
const MAX_WATCH_LAG: Milliseconds = 300;
/** Time for which a stopped process answers other nodes, and the longest until it ends its lease. */
const STOP_TIME: Milliseconds = 2_500;
const MAX_RELEASE_TIME: Milliseconds = 300;
/** Longest time after the last tick of a process at which it begins an order. */
const MAX_LAST_ORDER_TIME: Milliseconds = 900;
/** Longest time from an order to its arrival, if a connection has to be opened. */
const MAX_CONNECT_TIME: Milliseconds = 700;
/** Orders that take longer are lost with the process that sent them. */
const SENT_ORDER_TIME: Milliseconds = 30;

const KEYS = ['fleet/coordinator', 'fleet/coordinator-term'] as const;
const UNKNOWN: StoreFailure = { kind: 'failed', effect: 'unknown' };
const NEVER = new Promise<never>(() => {});

/** An order that reached the workers. */
export interface Order {
  readonly at: Milliseconds;
  readonly node: string;
}

/** One process of a node. */
interface Life {
  readonly lock: CoordinatorLock;
  readonly changes: Subject<StoreChange>;
  readonly listed: Subject<void>;
  isRunning: boolean;
  isStopping: boolean;
  frozenUntil: Milliseconds;
  cutOffUntil: Milliseconds;
  lease: LeaseId;
  renewedAt: Milliseconds;
}

/** A cluster of nodes named by their index. */
export class ElectionWorld {
  readonly clock = new VirtualClock();
  readonly random: RandomSource;
  readonly orders: Order[] = [];
  private readonly store = new SharedStoreEmulator();
  private readonly lives: (Life | undefined)[];
  private readonly seen = new Map<string, Revision>();
  private readonly leaseEnds = new Map<LeaseId, Milliseconds>();
  private readonly due: { readonly at: Milliseconds; readonly run: () => void }[] = [];
  private commitsToLose = 0;

  constructor(seed: number, nodes: number) {
    this.random = createRandomSource(seed);
    this.lives = Array.from({ length: nodes }, () => undefined);
    for (let node = 0; node < nodes; node += 1) this.start(node);
  }

  /** Index of the node whose record is the lock. */
  get holder(): number | undefined {
    const value = this.store.valueOf(KEYS[0]);
    return value === undefined ? undefined : Number((JSON.parse(value) as { node: string }).node);
  }

  start(node: number): void {
    if (this.lives[node] !== undefined) return;
    const life = this.createLife(node);
    this.lives[node] = life;
    void this.keepLease(life);
    this.after(this.random.integer(MAX_WATCH_LAG), () => this.list(life));
  }

  kill(node: number): void {
    const life = this.lives[node];
    if (life === undefined) return;
    life.isRunning = false;
    this.lives[node] = undefined;
  }

  /** Stops a process as SIGTERM does: it ends its lease soon, and answers others for a while. */
  stop(node: number): void {
    const life = this.lives[node];
    if (life === undefined || life.isStopping) return;
    life.isStopping = true;
    this.after(this.random.integer(MAX_RELEASE_TIME), () => {
      if (!life.isRunning || this.isCutOff(life)) return;
      this.store.lapseLease(life.lease);
    });
    // A change that waited for its worker's report is ordered after the last tick.
    this.after(this.random.integer(MAX_LAST_ORDER_TIME), () => this.tryOrder(node, life));
    this.after(STOP_TIME, () => {
      if (this.lives[node] === life) this.kill(node);
    });
  }

  freeze(node: number, duration: Milliseconds): void {
    const life = this.lives[node];
    if (life !== undefined) life.frozenUntil = this.clock.now() + duration;
  }

  cutOff(node: number, duration: Milliseconds): void {
    const life = this.lives[node];
    if (life !== undefined) life.cutOffUntil = this.clock.now() + duration;
  }

  /** A node asks the holder to resign, as it suspects it. */
  suspect(by: number): void {
    const { holder } = this;
    if (holder === undefined || holder === by) return;
    void this.lives[by]?.lock.takeOverFrom(ownerOf(holder));
  }

  /** The answers of the next commits are lost; some are carried out late. */
  loseCommits(count: number): void {
    this.commitsToLose += count;
  }

  after(delay: Milliseconds, run: () => void): void {
    this.due.push({ at: this.clock.now() + delay, run });
  }

  /** Lets time pass. */
  async run(duration: Milliseconds): Promise<void> {
    const end = this.clock.now() + duration;
    while (this.clock.now() < end) {
      const now = this.clock.now() + STEP;
      this.clock.advanceTo(now);
      for (const [lease, at] of this.leaseEnds) if (at <= now) this.store.lapseLease(lease);
      const due = this.due.filter(({ at }) => at <= now);
      for (const event of due) {
        this.due.splice(this.due.indexOf(event), 1);
        event.run();
      }
      await this.publishChanges();
      if (now % TICK_INTERVAL === 0) for (const node of this.lives.keys()) this.tick(node);
      await nextTurn();
    }
  }

  private createLife(node: number): Life {
    const self = ownerOf(node);
    const changes = new Subject<StoreChange>();
    const listed = new Subject<void>();
    const life = {
      ...{ changes, listed, isRunning: true, isStopping: false, frozenUntil: 0, cutOffUntil: 0 },
      ...{ lease: NO_LEASE, renewedAt: Number.NEGATIVE_INFINITY },
    };
    const fleet = {
      otherChanges: changes,
      listed,
      get leaseId() {
        return life.lease;
      },
      get hasShortLease() {
        return life.lease !== NO_LEASE;
      },
      renewalAge: () => this.clock.now() - life.renewedAt,
      requireShortLease: () => {},
      renewLeaseSoon: () => {},
      liveNodes: () => [...this.lives.keys()].map(String),
    };
    const lock = new CoordinatorLock({
      store: this.storeOf(life as Life),
      fleet: fleet as unknown as FleetRegistry,
      self,
      peers: this.peersOf(life as Life),
      clock: this.clockOf(life as Life),
      log: recordingLog().log,
      transferDelay: () => TRANSFER_DELAY,
      areTokensChecked: () => false,
    });
    return Object.assign(life, { lock });
  }

  private clockOf(life: Life): Clock {
    const { clock } = this;
    return {
      now: () => clock.now(),
      suspendedTime: () => 0,
      wallTime: () => clock.wallTime(),
      sleep: (duration) => clock.sleep(duration).then(() => this.whenRunning(life)),
    };
  }

  /** Resolves once a process is not frozen; never if it has ended. */
  private async whenRunning(life: Life): Promise<void> {
    while (life.isRunning && life.frozenUntil > this.clock.now()) await this.clock.sleep(STEP);
    if (!life.isRunning) await NEVER;
  }

  private storeOf(life: Life): SharedStore {
    const commit: SharedStore['commit'] = async (request) => {
      const outcome = await this.carryOut(life, request);
      await this.whenRunning(life);
      return outcome;
    };
    const get: SharedStore['get'] = async (key) => {
      await this.clock.sleep(this.latency());
      const outcome = this.isCutOff(life) ? UNKNOWN : await this.store.get(key);
      await this.whenRunning(life);
      return outcome;
    };
    return { commit, get } as unknown as SharedStore;
  }

  private async carryOut(life: Life, request: StoreCommit): ReturnType<SharedStore['commit']> {
    if (this.isCutOff(life)) return this.noAnswer();
    if (this.commitsToLose > 0) {
      this.commitsToLose -= 1;
      const isLate = this.random.integer(2) === 0;
      this.after(isLate ? this.random.integer(MAX_LATE_COMMIT) : this.latency(), () => {
        this.store.applyLate(request);
      });
      return this.noAnswer();
    }
    await this.clock.sleep(this.latency());
    const outcome = await this.store.commit(request);
    await this.clock.sleep(this.latency());
    return outcome;
  }

  private async noAnswer(): Promise<StoreFailure> {
    await this.clock.sleep(CALL_TIMEOUT);
    return UNKNOWN;
  }

  private peersOf(life: Life): PeerPort {
    const request = async (address: string): Promise<PeerOutcome<'resign-coordinator'>> => {
      await this.clock.sleep(this.latency());
      const peer = this.lives[Number(address)];
      if (peer === undefined) return { kind: 'refused' };
      const isSilent = peer.frozenUntil > this.clock.now();
      if (isSilent) await this.clock.sleep(RESIGN_TIMEOUT);
      await this.whenRunning(life);
      if (isSilent) return { kind: 'silent' };
      return { kind: 'answered', answer: { lastOrderAge: peer.lock.resign() } };
    };
    return { request } as unknown as PeerPort;
  }

  private async keepLease(life: Life): Promise<void> {
    for (;;) {
      await this.whenRunning(life);
      if (life.isStopping) return;
      if (!this.isCutOff(life)) await this.renew(life);
      await this.clock.sleep(RENEWAL_INTERVAL);
    }
  }

  private async renew(life: Life): Promise<void> {
    const sentAt = this.clock.now();
    await this.clock.sleep(this.latency());
    const isKept =
      life.lease !== NO_LEASE && (await this.store.renewLease(life.lease)).kind === 'kept';
    const granted = isKept ? undefined : await this.store.grantLease(LEASE_TTL);
    const lease = granted?.kind === 'granted' ? granted.lease : life.lease;
    this.leaseEnds.set(lease, this.clock.now() + LEASE_TTL);
    await this.clock.sleep(this.latency());
    await this.whenRunning(life);
    life.lease = lease;
    life.renewedAt = sentAt;
  }

  /** The first list of the records, with which a node begins. */
  private async list(life: Life): Promise<void> {
    for (const key of KEYS) await this.publish(life, key);
    life.listed.next();
  }

  private async publishChanges(): Promise<void> {
    for (const key of KEYS) {
      const outcome = await this.store.get(key);
      const revision = outcome.kind === 'item' ? (outcome.item?.revision ?? 0) : 0;
      if (revision === (this.seen.get(key) ?? 0)) continue;
      this.seen.set(key, revision);
      for (const life of this.lives) {
        if (life === undefined) continue;
        this.after(this.random.integer(MAX_WATCH_LAG), () => void this.publish(life, key));
      }
    }
  }

  private async publish(life: Life, key: string): Promise<void> {
    await this.whenRunning(life);
    if (this.isCutOff(life)) {
      this.after(MAX_WATCH_LAG, () => void this.publish(life, key));
      return;
    }
    const { items, revision } = (await this.store.range(key)) as {
      items: readonly StoreChange[];
      revision: Revision;
    };
    const item = items.find((candidate) => candidate.key === key);
    life.changes.next(item ?? { key, value: undefined, revision });
  }

  private tick(node: number): void {
    const life = this.lives[node];
    if (life === undefined || life.isStopping || life.frozenUntil > this.clock.now()) return;
    life.lock.tick();
    this.tryOrder(node, life);
  }

  private tryOrder(node: number, life: Life): void {
    if (!life.isRunning || life.frozenUntil > this.clock.now()) return;
    if (life.lock.beginOrder() === undefined) return;
    const needsConnection = this.random.integer(8) === 0;
    const duration = needsConnection ? this.random.integer(MAX_CONNECT_TIME) : this.latency();
    this.after(duration, () => {
      const isProcessNeeded = duration > SENT_ORDER_TIME;
      const isSuspended = !life.isRunning || life.frozenUntil > this.clock.now();
      if (!isProcessNeeded || !isSuspended) {
        this.orders.push({ at: this.clock.now(), node: String(node) });
      }
      void this.whenRunning(life).then(() => life.lock.endOrder());
    });
  }

  private isCutOff(life: Life): boolean {
    return life.cutOffUntil > this.clock.now();
  }

  private latency(): Milliseconds {
    return 1 + this.random.integer(SENT_ORDER_TIME - 10);
  }
}

let started = 0;

/** A new incarnation of a node. */
function ownerOf(node: number): JobOwner {
  started += 1;
  return { node: String(node), incarnation: `life-${started}`, address: String(node) };
}
