/** Limits the permits for one cold worker, so that its hard bound holds in every sliding second. */
import { type Milliseconds, SECOND } from '../core/units.js';
import type { ColdStart } from '../serving/traffic-configuration.js';
import { PERMIT_VALIDITY } from './cold-permits.js';
import type { ColdTolerance } from './cold-tolerance.js';

/** A gateway does not detect suspensions shorter than this. */
const MAX_UNDETECTED_SUSPENSION: Milliseconds = 100;

/** Time to connect to the worker after the permit was used. */
const MAX_CONNECT_TIME: Milliseconds = 700;

/**
 * Longest time from the grant of a permit until its request is sent. Requests sent within one
 * second have permits granted within a window of one second plus this time.
 */
export const MAX_GRANT_TO_SEND_DELAY: Milliseconds =
  PERMIT_VALIDITY + MAX_UNDETECTED_SUSPENSION + MAX_CONNECT_TIME;

/**
 * Burst size of the bucket; small, since a cold worker crashes under many simultaneous requests.
 */
const MAX_SAVED_PERMITS = 2;

/** Burst size as a share of the bound, where the bound is low. */
const SAVED_SHARE = 0.25;

/** Token bucket parameters for one worker. */
export interface PermitLimits {
  /** Permits a second. */
  readonly rate: number;
  /** Burst size in permits. */
  readonly saved: number;
}

/**
 * Bucket parameters that approach the rate a cold worker tolerates. In any window the bucket grants
 * at most the burst plus rate times window; over one second plus {@link MAX_GRANT_TO_SEND_DELAY}
 * that stays within the hard bound.
 */
export function permitLimits(coldStart: ColdStart, tolerance: ColdTolerance): PermitLimits {
  const tolerated = coldStart.requestsPerSecond;
  const bound = Math.floor(tolerated * tolerance.factor + tolerance.requests);
  const saved = Math.max(1, Math.min(MAX_SAVED_PERMITS, bound * SAVED_SHARE));
  const window = (SECOND + MAX_GRANT_TO_SEND_DELAY) / SECOND;
  return { rate: Math.max(0, Math.min(tolerated, (bound - saved) / window)), saved };
}

/** Token bucket of permits for one incarnation of a worker. */
export class PermitBucket {
  private level: number | undefined;
  private refilledAt: Milliseconds = 0;
  lastTakenAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Takes up to `requested` permits and returns how many. */
  take(requested: number, limits: PermitLimits, now: Milliseconds): number {
    this.refill(limits, now);
    // With a rate of 0 even the burst of a full bucket would exceed the bound.
    const available = limits.rate === 0 ? 0 : Math.floor(this.level ?? 0);
    const granted = Math.max(0, Math.min(Math.floor(requested), available));
    this.level = (this.level ?? 0) - granted;
    this.lastTakenAt = now;
    return granted;
  }

  private refill({ rate, saved }: PermitLimits, now: Milliseconds): void {
    const gained = ((now - this.refilledAt) * rate) / SECOND;
    this.level = this.level === undefined ? saved : Math.min(saved, this.level + gained);
    this.refilledAt = now;
  }
}
