/**
 * A retry budget: retries are a share of the traffic, not a count per request, so that retries
 * cannot multiply the load when a place fails (as in Finagle and gRPC retry throttling).
 */
import type { Milliseconds } from '../core/units.js';

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt; default 0.1. */
  readonly share?: number;
  /** Retries per second allowed without any traffic; default 1. */
  readonly minimumPerSecond?: number;
  /** Most retries that can be saved up; default 20. */
  readonly maximumBalance?: number;
}

/** A token bucket filled by first attempts and drawn on by retries. */
export class RetryBudget {
  readonly #share: number;
  readonly #minimumPerSecond: number;
  readonly #maximumBalance: number;
  #balance: number;
  #filledAt: Milliseconds;

  /** @param now starts the clock; the bucket holds one second's minimum */
  constructor(options: RetryBudgetOptions, now: Milliseconds) {
    this.#share = options.share ?? 0.1;
    this.#minimumPerSecond = options.minimumPerSecond ?? 1;
    this.#maximumBalance = options.maximumBalance ?? 20;
    this.#balance = Math.min(this.#minimumPerSecond, this.#maximumBalance);
    this.#filledAt = now;
  }

  /** Retries that could be made now. */
  balance(now: Milliseconds): number {
    this.#fill(now);
    return Math.floor(this.#balance);
  }

  /** Notes a first attempt. */
  recordFirstAttempt(now: Milliseconds): void {
    this.#fill(now);
    this.#add(this.#share);
  }

  /** Takes one retry out of the budget; false where there is none, and then no retry is made. */
  tryRetry(now: Milliseconds): boolean {
    this.#fill(now);
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }

  #fill(now: Milliseconds): void {
    const elapsed = Math.max(0, now - this.#filledAt);
    this.#filledAt = now;
    this.#add((elapsed * this.#minimumPerSecond) / 1_000);
  }

  #add(retries: number): void {
    this.#balance = Math.min(this.#maximumBalance, this.#balance + retries);
  }
}
