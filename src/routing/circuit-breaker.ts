/**
 * A circuit breaker for one destination (Nygard, "Release It!", 2007): after failures in a row it
 * refuses calls for a jittered, growing time, then lets a single probe through.
 */
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';

/** State of a breaker. */
export type CircuitState = 'closed' | 'open' | 'half-open';

/** Settings of a breaker. */
export interface CircuitBreakerOptions {
  readonly random: RandomSource;
  /** Failures in a row that open it; default 5. */
  readonly failureThreshold?: number;
  /** First time it stays open, doubled with each failed probe; default 500 ms. */
  readonly baseOpenTime?: Milliseconds;
  /** Longest time it stays open, before jitter; default 10,000 ms. */
  readonly maximumOpenTime?: Milliseconds;
}

/** Open times are drawn from half to one and a half times their length. */
const JITTER = 0.5;

/** Guards calls to one destination. */
export class CircuitBreaker {
  readonly #random: RandomSource;
  readonly #failureThreshold: number;
  readonly #baseOpenTime: Milliseconds;
  readonly #maximumOpenTime: Milliseconds;
  #state: CircuitState = 'closed';
  #failures = 0;
  #openings = 0;
  #until: Milliseconds = 0;

  constructor(options: CircuitBreakerOptions) {
    this.#random = options.random;
    this.#failureThreshold = options.failureThreshold ?? 5;
    this.#baseOpenTime = options.baseOpenTime ?? 500;
    this.#maximumOpenTime = options.maximumOpenTime ?? 10_000;
  }

  get state(): CircuitState {
    return this.#state;
  }

  /** Whether a call may be made; the first one after the open time is the probe. */
  tryCall(now: Milliseconds): boolean {
    if (this.#state === 'closed') return true;
    if (now < this.#until) return false;
    this.#state = 'half-open';
    this.#until = now + this.#openTime();
    return true;
  }

  /** Time until a call may be made; 0 where it may be now. */
  retryAfter(now: Milliseconds): Milliseconds {
    return this.#state === 'closed' ? 0 : Math.max(0, this.#until - now);
  }

  /** Takes in a call that succeeded; one from before the breaker opened changes nothing. */
  recordSuccess(): void {
    if (this.#state === 'open') return;
    this.#state = 'closed';
    this.#failures = 0;
    this.#openings = 0;
  }

  /** Takes in a call that failed. */
  recordFailure(now: Milliseconds): void {
    if (this.#state === 'open') return;
    this.#failures += 1;
    if (this.#state === 'closed' && this.#failures < this.#failureThreshold) return;
    this.#until = now + this.#openTime();
    this.#openings += 1;
    this.#state = 'open';
  }

  #openTime(): Milliseconds {
    const length = Math.min(this.#maximumOpenTime, this.#baseOpenTime * 2 ** this.#openings);
    return Math.round(length * (1 + JITTER * (2 * this.#random.fraction() - 1)));
  }
}
