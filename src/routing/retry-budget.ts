/**
 * A retry budget: limits retries to a share of the traffic instead of a count per request, so that
 * retries cannot multiply the load during a failure (as in Finagle and gRPC retry throttling).
 */
import type { Milliseconds } from '../core/units.js';

export interface RetryBudgetOptions {
  /** Retries earned by each first attempt; default 0.1. */
  readonly share?: number;
  /** Retries per second allowed without any traffic; default 1. */
  readonly minimumPerSecond?: number;
  /** Maximum balance, in retries; default 20. */
  readonly maximumBalance?: number;
}

/** A token bucket that first attempts and time fill and retries draw from. */
export class RetryBudget {
  readonly #share: number;
  readonly #minimumPerSecond: number;
  readonly #maximumBalance: number;
  #balance: number;
  #refilledAt: Milliseconds;

  /** @param now start of the refill; the initial balance is the minimum of one second */
  constructor(options: RetryBudgetOptions, now: Milliseconds) {
    this.#share = options.share ?? 0.1;
    this.#minimumPerSecond = options.minimumPerSecond ?? 1;
    this.#maximumBalance = options.maximumBalance ?? 20;
    this.#balance = Math.min(this.#minimumPerSecond, this.#maximumBalance);
    this.#refilledAt = now;
  }

  /** Number of retries available now. */
  balance(now: Milliseconds): number {
    this.#refill(now);
    return Math.floor(this.#balance);
  }

  recordFirstAttempt(now: Milliseconds): void {
    this.#refill(now);
    this.#add(this.#share);
  }

  /** Takes one retry from the budget; false where the caller must not retry. */
  tryRetry(now: Milliseconds): boolean {
    this.#refill(now);
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }

  #refill(now: Milliseconds): void {
    const elapsed = Math.max(0, now - this.#refilledAt);
    this.#refilledAt = now;
    this.#add((elapsed * this.#minimumPerSecond) / 1_000);
  }

  #add(retries: number): void {
    this.#balance = Math.min(this.#maximumBalance, this.#balance + retries);
  }
}
