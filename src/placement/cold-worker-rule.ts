/**
 * A worker that is not known to be warm is sent a request only under a permit. Permits are asked for by the
 * choices that find a cold worker without one, and used up right before a request goes.
 */
import type { Milliseconds, Revision } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { ColdStart, ServiceName, WorkerRecord } from '../serving/traffic-configuration.js';
import { type WorkerIncarnation, workerIncarnationOf } from '../serving/worker-incarnation.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import {
  PERMIT_VALIDITY,
  type PermitAnswer,
  type PermitGrant,
  type PermitRequest,
} from './cold-permits.js';
import type { SendRejection, SendRule } from './send-rules.js';
import type { WorkerWarmth } from './worker-warmth.js';

/** Permits asked for at once for one worker: one to use, one ahead. */
const WANTED_PERMITS = 2;

/** Workers in one question; those left out are wished for again by the next choice. */
const MOST_WISHES = 64;

/** Time for which a worker whose permits went unused is not wished for, so that others get them. */
const UNUSED_PAUSE: Milliseconds = 500;

/** Options of {@link ColdWorkerRule}. */
export interface ColdWorkerRuleOptions {
  readonly clock: Pick<Clock, 'now' | 'suspendedTime'>;
  readonly warmth: WorkerWarmth;
  /** What workers of a service bear while cold; `undefined` where they are never cold. */
  readonly coldStartOf: (service: ServiceName) => ColdStart | undefined;
  /** Permits are wanted; {@link ColdWorkerRule.takeRequests} tells which. */
  readonly onPermitsNeeded: () => void;
  readonly metrics: FleetMetrics;
}

/** Permits in hand for one life of a worker. */
interface HeldPermits {
  left: number;
  /** By {@link suspendAwareTime}, as others use permits while this machine is suspended. */
  readonly expiresAt: Milliseconds;
}

/** Keeps cold workers from more than this node has permits for. */
export class ColdWorkerRule implements SendRule {
  private readonly held = new Map<WorkerIncarnation, HeldPermits>();
  private readonly wishedFor = new Map<WorkerIncarnation, WorkerRecord>();
  /** Until when a life is not wished for. */
  private readonly pausedUntil = new Map<WorkerIncarnation, Milliseconds>();
  private highestTerm: Revision = 0;

  constructor(private readonly options: ColdWorkerRuleOptions) {}

  rejectionOf(worker: WorkerRecord): SendRejection | undefined {
    if (!this.needsPermit(worker)) return undefined;
    if (this.inHand(workerIncarnationOf(worker)) !== undefined) return undefined;
    this.wish(worker);
    return 'worker-cold';
  }

  noteSent(worker: WorkerRecord): void {
    if (!this.needsPermit(worker)) return;
    const permits = this.inHand(workerIncarnationOf(worker));
    if (permits === undefined) return;
    permits.left -= 1;
    this.options.metrics.count('cold_permits', { state: 'used' });
  }

  /** Whether there is something to ask the granter. */
  get hasRequests(): boolean {
    return this.wishedFor.size > 0;
  }

  /** What to ask the granter now; a wish is told once. */
  takeRequests(): PermitRequest[] {
    const { warmth, metrics } = this.options;
    const wishes = [...this.wishedFor.values()].slice(0, MOST_WISHES).map((worker) => ({
      worker: worker.id,
      life: workerIncarnationOf(worker),
      permits: WANTED_PERMITS,
      doubtAge: warmth.doubtAge(worker),
    }));
    this.wishedFor.clear();
    metrics.count('cold_permits', { state: 'asked' }, WANTED_PERMITS * wishes.length);
    return wishes;
  }

  /**
   * Takes in the answer to a question that was sent at `sentAt` by {@link suspendAwareTime}; tells whether any
   * worker may be sent something that it might not before. A granter that another has followed may not know it.
   */
  applyAnswer(
    { term, grants }: PermitAnswer,
    sentAt: Milliseconds,
    workerOf: (id: string) => WorkerRecord | undefined,
  ): boolean {
    if (term === undefined || term < this.highestTerm) return false;
    this.highestTerm = term;
    let isAnyFree = false;
    for (const grant of grants) {
      const worker = workerOf(grant.worker);
      if (worker === undefined || workerIncarnationOf(worker) !== grant.life) continue;
      if (this.takeGrant(grant, worker, sentAt)) isAnyFree = true;
    }
    return isAnyFree;
  }

  /** Forgets permits that are void and pauses that are over. */
  prune(): void {
    const now = this.options.clock.now();
    for (const life of this.held.keys()) this.dropExpired(life);
    for (const [life, until] of this.pausedUntil) if (until <= now) this.pausedUntil.delete(life);
  }

  private takeGrant(
    { life, warmth: told, permits }: PermitGrant,
    worker: WorkerRecord,
    sentAt: Milliseconds,
  ): boolean {
    const { warmth, clock } = this.options;
    warmth.noteShared(worker, told, sentAt - clock.suspendedTime());
    if (permits > 0) this.keep(life, permits, sentAt + PERMIT_VALIDITY);
    return told.kind === 'warm' || this.inHand(life) !== undefined;
  }

  private keep(life: WorkerIncarnation, permits: number, expiresAt: Milliseconds): void {
    this.options.metrics.count('cold_permits', { state: 'received' }, permits);
    this.dropExpired(life);
    const before = this.held.get(life)?.left ?? 0;
    // Those of before end sooner: they would be used first, and are few.
    if (before > 0) this.noteVoid(before);
    this.held.set(life, { left: permits, expiresAt });
  }

  private needsPermit(worker: WorkerRecord): boolean {
    const { warmth, coldStartOf } = this.options;
    const coldStart = coldStartOf(worker.service);
    if (coldStart === undefined) return false;
    return warmth.of(worker, coldStart).kind !== 'warm';
  }

  private inHand(life: WorkerIncarnation): HeldPermits | undefined {
    this.dropExpired(life);
    const permits = this.held.get(life);
    return permits === undefined || permits.left < 1 ? undefined : permits;
  }

  private dropExpired(life: WorkerIncarnation): void {
    const permits = this.held.get(life);
    if (permits === undefined || suspendAwareTime(this.options.clock) < permits.expiresAt) return;
    this.held.delete(life);
    if (permits.left === 0) return;
    this.noteVoid(permits.left);
    this.pausedUntil.set(life, this.options.clock.now() + UNUSED_PAUSE);
  }

  private noteVoid(permits: number): void {
    this.options.metrics.count('cold_permits', { state: 'void' }, permits);
  }

  private wish(worker: WorkerRecord): void {
    const life = workerIncarnationOf(worker);
    if (this.options.clock.now() < (this.pausedUntil.get(life) ?? 0)) return;
    this.pausedUntil.delete(life);
    this.wishedFor.set(life, worker);
    this.options.onPermitsNeeded();
  }
}
