/**
 * What a controller knows of one worker's weights, and the order it is carrying out. Facts come
 * from the worker's reports and from the results of orders.
 */
import type { RandomSource } from '../core/random.js';
import { type Milliseconds, SECOND, type WeightVersion } from '../core/units.js';
import {
  REPORT_LAG_LIMIT,
  type WorkerOrder,
  type WorkerOrderResult,
  type WorkerRecord,
  type WorkerReport,
} from '../platform/worker.js';
import { type BackoffOptions, backoffDelay } from '../routing/backoff.js';

/** Pause after a failed or unanswered order. */
const ORDER_RETRY_DELAY: BackoffOptions = { base: 500, maximum: 15 * SECOND };

/** Shortest such pause. */
const ORDER_RETRY_MINIMUM: Milliseconds = 250;

/** Age of the last report beyond which a worker counts as unreachable. */
const REPORT_EXPIRY: Milliseconds = 10 * SECOND;

/** An order on its way. */
export interface PendingOrder {
  readonly orderId: string;
  readonly action: WorkerOrder['action'];
  readonly deadline: Milliseconds;
}

/** Weights of one worker as its controller sees them. */
export class WorkerRollout {
  /** Order that has not been answered. */
  pending: PendingOrder | undefined;
  /** When the worker is polled next. */
  nextPoll: Milliseconds = 0;
  /** Failures in a row. */
  failures = 0;
  private activeVersion: WeightVersion | undefined;
  private loaded: ReadonlySet<WeightVersion> = new Set();
  private leaving = false;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private retryAt: Milliseconds = 0;
  /** Until then a report may still show the time before the last answered order. */
  private reportsLagUntil = Number.NEGATIVE_INFINITY;

  constructor(public record: WorkerRecord) {}

  /** Takes in a report; one that may predate the last answered order adds facts only. */
  report(report: WorkerReport, now: Milliseconds): void {
    this.reportedAt = now;
    this.leaving = report.leaving;
    if (now < this.reportsLagUntil) {
      this.loaded = new Set([...this.loaded, ...report.loadedVersions]);
      return;
    }
    this.activeVersion = report.activeVersion;
    this.loaded = new Set(report.loadedVersions);
  }

  /** Takes in the result of the pending order. */
  finish(result: WorkerOrderResult, now: Milliseconds, random: RandomSource): void {
    const action = this.pending?.action;
    this.pending = undefined;
    if (action === undefined) return;
    if (result.kind !== 'done') {
      this.backOff(now, random);
      return;
    }
    this.failures = 0;
    this.reportsLagUntil = now + REPORT_LAG_LIMIT;
    this.loaded = new Set([...this.loaded, action.version]);
    if (action.kind === 'activate') this.activeVersion = action.version;
  }

  /** Gives up an order that was not answered in time; its late result is ignored. */
  expire(now: Milliseconds, random: RandomSource): void {
    this.pending = undefined;
    this.backOff(now, random);
  }

  /** Whether the worker has been heard of lately and is staying. */
  isCounted(now: Milliseconds): boolean {
    return !this.leaving && now - this.reportedAt <= REPORT_EXPIRY;
  }

  /** Whether an order may be sent now. */
  isReady(now: Milliseconds): boolean {
    return this.pending === undefined && now >= this.retryAt && this.isCounted(now);
  }

  /** Whether the version can be activated without a load. */
  hasLoaded(version: WeightVersion): boolean {
    return this.activeVersion === version || this.loaded.has(version);
  }

  /** Whether new tokens are made with the version. */
  isActive(version: WeightVersion): boolean {
    return this.activeVersion === version;
  }

  /** Whether new tokens are made with a newer version. */
  isAheadOf(version: WeightVersion): boolean {
    return this.activeVersion !== undefined && this.activeVersion > version;
  }

  private backOff(now: Milliseconds, random: RandomSource): void {
    this.retryAt =
      now + backoffDelay(this.failures, random, ORDER_RETRY_DELAY, ORDER_RETRY_MINIMUM);
    this.failures += 1;
  }
}
