/**
 * Outlier ejection as in Envoy and gRPC: a worker whose calls fail is ejected for a time that grows
 * with each ejection; only a share of a group may be ejected at once.
 */
import { jittered, type RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { CallOutcome } from './worker-candidate.js';

export interface OutlierOptions {
  readonly random: RandomSource;
  /** Consecutive failures that cause an ejection; default 5. */
  readonly consecutiveFailures?: number;
  /** Moving average of the failure share that causes an ejection; default 0.5. */
  readonly failureShare?: number;
  /** Duration of the first ejection, doubled with each further one; default 5,000 ms. */
  readonly baseEjection?: Milliseconds;
  /** Maximum duration of an ejection before jitter; default 120,000 ms. */
  readonly maximumEjection?: Milliseconds;
  /** Maximum share of a group that may be ejected at once; default 0.34. */
  readonly maximumShare?: number;
}

/** Statistics of the call outcomes of one worker. */
export interface OutcomeHistory {
  consecutiveFailures: number;
  failureShare: number;
  observations: number;
  /** Number of ejections; decreases by one for each period without failures. */
  ejections: number;
  ejectedUntil: Milliseconds;
  lastFailureAt: Milliseconds;
}

/** Weight of one outcome in the moving average of failures. */
const SMOOTHING = 0.1;

/** Outcomes before the moving average may cause an ejection. */
const MIN_OBSERVATIONS = 10;

/** Ejection times vary by this share in both directions. */
const JITTER = 0.2;

/** Time without failures after which the number of ejections decreases by one. */
const QUIET_PERIOD: Milliseconds = 60_000;

export function createOutcomeHistory(): OutcomeHistory {
  return {
    consecutiveFailures: 0,
    failureShare: 0,
    observations: 0,
    ejections: 0,
    ejectedUntil: Number.NEGATIVE_INFINITY,
    lastFailureAt: Number.NEGATIVE_INFINITY,
  };
}

export class OutlierDetector {
  readonly #random: RandomSource;
  readonly #consecutiveFailures: number;
  readonly #failureShare: number;
  readonly #baseEjection: Milliseconds;
  readonly #maximumEjection: Milliseconds;
  readonly #maximumShare: number;

  constructor(options: OutlierOptions) {
    this.#random = options.random;
    this.#consecutiveFailures = options.consecutiveFailures ?? 5;
    this.#failureShare = options.failureShare ?? 0.5;
    this.#baseEjection = options.baseEjection ?? 5_000;
    this.#maximumEjection = options.maximumEjection ?? 120_000;
    this.#maximumShare = options.maximumShare ?? 0.34;
  }

  /** Maximum number of ejected workers of a group; 0 for a group of one. */
  ejectionLimit(groupSize: number): number {
    if (groupSize < 2) return 0;
    return Math.max(1, Math.floor(groupSize * this.#maximumShare));
  }

  /** Records one outcome; returns whether the worker should be ejected. Refusals are ignored. */
  record(history: OutcomeHistory, outcome: CallOutcome, now: Milliseconds): boolean {
    if (outcome === 'refused') return false;
    const failed = outcome === 'failed';
    history.observations += 1;
    history.failureShare += SMOOTHING * ((failed ? 1 : 0) - history.failureShare);
    if (!failed) {
      history.consecutiveFailures = 0;
      return false;
    }
    this.#decayEjections(history, now);
    history.lastFailureAt = now;
    history.consecutiveFailures += 1;
    return this.#isOutlier(history);
  }

  /** Sets the end of the ejection and resets the failure statistics. */
  eject(history: OutcomeHistory, now: Milliseconds): void {
    const uncapped = this.#baseEjection * 2 ** history.ejections;
    const duration = Math.min(this.#maximumEjection, uncapped);
    history.ejectedUntil = now + Math.round(jittered(this.#random, duration, JITTER));
    history.ejections += 1;
    history.consecutiveFailures = 0;
    history.failureShare = 0;
    history.observations = 0;
  }

  #isOutlier(history: OutcomeHistory): boolean {
    if (history.consecutiveFailures >= this.#consecutiveFailures) return true;
    const hasEnoughObservations = history.observations >= MIN_OBSERVATIONS;
    return hasEnoughObservations && history.failureShare >= this.#failureShare;
  }

  #decayEjections(history: OutcomeHistory, now: Milliseconds): void {
    if (history.ejections === 0) return;
    const quietSince = Math.max(history.lastFailureAt, history.ejectedUntil);
    const periods = Math.floor((now - quietSince) / QUIET_PERIOD);
    if (periods > 0) history.ejections = Math.max(0, history.ejections - periods);
  }
}
