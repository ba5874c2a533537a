/** How many permits may be granted for one cold worker, so that its bound holds in every sliding second. */
import { type Milliseconds, SECOND } from '../core/units.js';
import type { ColdStart } from '../serving/traffic-configuration.js';
import { PERMIT_VALIDITY } from './cold-permits.js';
import type { ColdTolerance } from './cold-tolerance.js';

/** A suspension up to this long is not noticed by the gateway that was granted a permit. */
const UNNOTICED_SUSPENSION: Milliseconds = 100;

/** A request may wait this long for its connection to come up after its permit was used. */
const LONGEST_CONNECT: Milliseconds = 700;

/**
 * Time from the grant of a permit until its request has gone, at the longest. Requests that go within
 * one second have permits that were granted within a second and this time.
 */
export const GRANT_SPREAD: Milliseconds = PERMIT_VALIDITY + UNNOTICED_SUSPENSION + LONGEST_CONNECT;

/** Permits that may be saved up; a few, as a cold worker falls over under many requests at once. */
const MOST_SAVED = 2;

/** Share of the bound that may be saved up, where the bound is low. */
const SAVED_SHARE = 0.25;

/** The pace of permits for one worker. */
export interface PermitPace {
  /** Permits a second. */
  readonly rate: number;
  /** Permits that may be saved up. */
  readonly saved: number;
}

/**
 * The pace that aims at what a cold worker bears. In any time the bucket grants what was saved and what the
 * rate gave meanwhile; over a second and the spread of the grants that stays within the hard bound.
 */
export function permitPace(coldStart: ColdStart, tolerance: ColdTolerance): PermitPace {
  const borne = coldStart.requestsPerSecond;
  const bound = Math.floor(borne * tolerance.factor + tolerance.requests);
  const saved = Math.max(1, Math.min(MOST_SAVED, bound * SAVED_SHARE));
  const window = (SECOND + GRANT_SPREAD) / SECOND;
  return { rate: Math.max(0, Math.min(borne, (bound - saved) / window)), saved };
}

/** A token bucket of permits for one life of a worker. */
export class PermitBucket {
  private level: number | undefined;
  private filledAt: Milliseconds = 0;
  /** When permits were last taken. */
  lastTakenAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Takes up to as many permits as are wanted. */
  take(wanted: number, pace: PermitPace, now: Milliseconds): number {
    this.fill(pace, now);
    // Where the pace is nothing, the permits that a full bucket holds are beyond the bound.
    const there = pace.rate === 0 ? 0 : Math.floor(this.level ?? 0);
    const granted = Math.max(0, Math.min(Math.floor(wanted), there));
    this.level = (this.level ?? 0) - granted;
    this.lastTakenAt = now;
    return granted;
  }

  private fill({ rate, saved }: PermitPace, now: Milliseconds): void {
    const gained = ((now - this.filledAt) * rate) / SECOND;
    this.level = this.level === undefined ? saved : Math.min(saved, this.level + gained);
    this.filledAt = now;
  }
}
