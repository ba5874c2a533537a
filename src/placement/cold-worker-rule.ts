/**
 * Sends requests to cold workers only under permits. Placing a request on a cold worker without a
 * permit requests permits from the granter; each request sent uses up one permit.
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

/** Permits requested at a time for one worker: one to use now and one in advance. */
const PERMITS_PER_REQUEST = 2;

/** Workers in one request; later placements request permits for the remaining workers. */
const MAX_REQUESTED_WORKERS = 64;

/** Pause in requests for a worker whose permits expired unused, so that other gateways get them. */
const UNUSED_PERMIT_PAUSE: Milliseconds = 500;

export interface ColdWorkerRuleOptions {
  readonly clock: Pick<Clock, 'now' | 'suspendedTime'>;
  readonly warmth: WorkerWarmth;
  /** Limits for the cold workers of a service; `undefined` where its workers are never cold. */
  readonly coldStartOf: (service: ServiceName) => ColdStart | undefined;
  /** Called when permits are needed; {@link ColdWorkerRule.takeRequests} returns the requests. */
  readonly onPermitsNeeded: () => void;
  readonly metrics: FleetMetrics;
}

/** Unused permits for one incarnation of a worker. */
interface HeldPermits {
  remaining: number;
  /**
   * By {@link suspendAwareTime}: other gateways are granted permits while this machine is
   * suspended.
   */
  readonly expiresAt: Milliseconds;
}

export class ColdWorkerRule implements SendRule {
  private readonly held = new Map<WorkerIncarnation, HeldPermits>();
  private readonly requested = new Map<WorkerIncarnation, WorkerRecord>();
  /** End of the pause in permit requests, by incarnation. */
  private readonly pausedUntil = new Map<WorkerIncarnation, Milliseconds>();
  private highestTerm: Revision = 0;

  constructor(private readonly options: ColdWorkerRuleOptions) {}

  rejectionOf(worker: WorkerRecord): SendRejection | undefined {
    if (!this.needsPermit(worker)) return undefined;
    if (this.validPermits(workerIncarnationOf(worker)) !== undefined) return undefined;
    this.requestPermit(worker);
    return 'worker-cold';
  }

  noteSent(worker: WorkerRecord): void {
    if (!this.needsPermit(worker)) return;
    const permits = this.validPermits(workerIncarnationOf(worker));
    if (permits === undefined) return;
    permits.remaining -= 1;
    this.options.metrics.count('cold_permits', { state: 'used' });
  }

  get hasRequests(): boolean {
    return this.requested.size > 0;
  }

  /** Returns the first {@link MAX_REQUESTED_WORKERS} pending requests and clears all. */
  takeRequests(): PermitRequest[] {
    const { warmth, metrics } = this.options;
    const requests = [...this.requested.values()].slice(0, MAX_REQUESTED_WORKERS).map((worker) => ({
      worker: worker.id,
      life: workerIncarnationOf(worker),
      permits: PERMITS_PER_REQUEST,
      doubtAge: warmth.unconfirmedAge(worker),
    }));
    this.requested.clear();
    metrics.count('cold_permits', { state: 'asked' }, PERMITS_PER_REQUEST * requests.length);
    return requests;
  }

  /**
   * Applies the answer to requests sent at `sentAt` by {@link suspendAwareTime}; returns whether
   * any worker may be sent requests now. Answers of a granter that was replaced are ignored.
   */
  applyAnswer(
    { term, grants }: PermitAnswer,
    sentAt: Milliseconds,
    workerOf: (id: string) => WorkerRecord | undefined,
  ): boolean {
    if (term === undefined || term < this.highestTerm) return false;
    this.highestTerm = term;
    let isAnyUnblocked = false;
    for (const grant of grants) {
      const worker = workerOf(grant.worker);
      if (worker === undefined || workerIncarnationOf(worker) !== grant.life) continue;
      if (this.applyGrant(grant, worker, sentAt)) isAnyUnblocked = true;
    }
    return isAnyUnblocked;
  }

  /** Removes expired permits and pauses. */
  prune(): void {
    const now = this.options.clock.now();
    for (const incarnation of this.held.keys()) this.dropExpired(incarnation);
    for (const [incarnation, until] of this.pausedUntil)
      if (until <= now) this.pausedUntil.delete(incarnation);
  }

  private applyGrant(
    { life: incarnation, warmth: reportedWarmth, permits }: PermitGrant,
    worker: WorkerRecord,
    sentAt: Milliseconds,
  ): boolean {
    const { warmth, clock } = this.options;
    warmth.notePeerReport(worker, reportedWarmth, sentAt - clock.suspendedTime());
    if (permits > 0) this.storePermits(incarnation, permits, sentAt + PERMIT_VALIDITY);
    return reportedWarmth.kind === 'warm' || this.validPermits(incarnation) !== undefined;
  }

  private storePermits(
    incarnation: WorkerIncarnation,
    permits: number,
    expiresAt: Milliseconds,
  ): void {
    this.options.metrics.count('cold_permits', { state: 'received' }, permits);
    this.dropExpired(incarnation);
    const replaced = this.held.get(incarnation)?.remaining ?? 0;
    // Earlier permits expire sooner and are few: they are dropped rather than merged.
    if (replaced > 0) this.countExpired(replaced);
    this.held.set(incarnation, { remaining: permits, expiresAt });
  }

  private needsPermit(worker: WorkerRecord): boolean {
    const { warmth, coldStartOf } = this.options;
    const coldStart = coldStartOf(worker.service);
    if (coldStart === undefined) return false;
    return warmth.of(worker, coldStart).kind !== 'warm';
  }

  private validPermits(incarnation: WorkerIncarnation): HeldPermits | undefined {
    this.dropExpired(incarnation);
    const permits = this.held.get(incarnation);
    return permits === undefined || permits.remaining < 1 ? undefined : permits;
  }

  private dropExpired(incarnation: WorkerIncarnation): void {
    const permits = this.held.get(incarnation);
    if (permits === undefined || suspendAwareTime(this.options.clock) < permits.expiresAt) return;
    this.held.delete(incarnation);
    if (permits.remaining === 0) return;
    this.countExpired(permits.remaining);
    this.pausedUntil.set(incarnation, this.options.clock.now() + UNUSED_PERMIT_PAUSE);
  }

  private countExpired(permits: number): void {
    this.options.metrics.count('cold_permits', { state: 'void' }, permits);
  }

  private requestPermit(worker: WorkerRecord): void {
    const incarnation = workerIncarnationOf(worker);
    if (this.options.clock.now() < (this.pausedUntil.get(incarnation) ?? 0)) return;
    this.pausedUntil.delete(incarnation);
    this.requested.set(incarnation, worker);
    this.options.onPermitsNeeded();
  }
}
