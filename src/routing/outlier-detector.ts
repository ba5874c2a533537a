/**
 * Outlier ejection by the outcomes of calls, as in Envoy and gRPC: a worker whose calls fail is
 * taken out for a time that grows with each ejection, and only a share of a group may be out.
 */
import { jittered, type RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { CallOutcome } from './worker-candidate.js';

/** Settings of outlier ejection. */
export interface OutlierOptions {
  readonly random: RandomSource;
  /** Failures in a row that eject; default 5. */
  readonly consecutiveFailures?: number;
  /** Moving share of failures that ejects; default 0.5. */
  readonly failureShare?: number;
  /** First ejection, doubled with each further one; default 5,000 ms. */
  readonly baseEjection?: Milliseconds;
  /** Longest ejection before jitter; default 120,000 ms. */
  readonly maximumEjection?: Milliseconds;
  /** Largest share of a group that may be ejected at once; default 0.34. */
  readonly maximumShare?: number;
}

/** What outcomes tell of one worker. */
export interface OutcomeHistory {
  consecutiveFailures: number;
  failureShare: number;
  observations: number;
  /** Ejections so far; falls by one for each quiet period. */
  ejections: number;
  ejectedUntil: Milliseconds;
  lastFailureAt: Milliseconds;
}

/** Weight of one outcome in the moving share of failures. */
const SMOOTHING = 0.1;

/** Outcomes needed before the moving share counts. */
const MINIMUM_OBSERVATIONS = 10;

/** Ejection times are drawn within this share around their length. */
const JITTER = 0.2;

/** Time without failures after which one ejection is forgotten. */
const QUIET_PERIOD: Milliseconds = 60_000;

/** A history without outcomes. */
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

/** Decides when a worker is ejected, and for how long. */
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

  /** Most workers of a group that may be out at once; never the only one. */
  ejectionLimit(groupSize: number): number {
    if (groupSize < 2) return 0;
    return Math.max(1, Math.floor(groupSize * this.#maximumShare));
  }

  /** Takes in one outcome; true where it calls for ejection. */
  record(history: OutcomeHistory, outcome: CallOutcome, now: Milliseconds): boolean {
    if (outcome === 'refused') return false;
    const failed = outcome === 'failed';
    history.observations += 1;
    history.failureShare += SMOOTHING * ((failed ? 1 : 0) - history.failureShare);
    if (!failed) {
      history.consecutiveFailures = 0;
      return false;
    }
    this.#forgetOldEjections(history, now);
    history.lastFailureAt = now;
    history.consecutiveFailures += 1;
    return this.#isOutlier(history);
  }

  /** Ejects: sets the time until which the worker is out, and starts its history anew. */
  eject(history: OutcomeHistory, now: Milliseconds): void {
    const grown = this.#baseEjection * 2 ** history.ejections;
    const length = Math.min(this.#maximumEjection, grown);
    history.ejectedUntil = now + Math.round(jittered(this.#random, length, JITTER));
    history.ejections += 1;
    history.consecutiveFailures = 0;
    history.failureShare = 0;
    history.observations = 0;
  }

  #isOutlier(history: OutcomeHistory): boolean {
    if (history.consecutiveFailures >= this.#consecutiveFailures) return true;
    const enough = history.observations >= MINIMUM_OBSERVATIONS;
    return enough && history.failureShare >= this.#failureShare;
  }

  #forgetOldEjections(history: OutcomeHistory, now: Milliseconds): void {
    if (history.ejections === 0) return;
    const quietSince = Math.max(history.lastFailureAt, history.ejectedUntil);
    const periods = Math.floor((now - quietSince) / QUIET_PERIOD);
    if (periods > 0) history.ejections = Math.max(0, history.ejections - periods);
  }
}
