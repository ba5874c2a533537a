/**
 * Counts the calls under way, per account and in all, and tells when none is left.
 */
import type { AccountName } from '../core/identity.js';

/** Calls under way. */
export class InFlightCalls {
  readonly #maxPerAccount: number;
  readonly #counts = new Map<AccountName, number>();
  #total = 0;
  #waiting: (() => void)[] = [];

  constructor(maxPerAccount: number) {
    this.#maxPerAccount = maxPerAccount;
  }

  /** All calls under way. */
  get total(): number {
    return this.#total;
  }

  /** Counts a call in; false where the account has as many as it may. */
  enter(account: AccountName): boolean {
    const count = this.#counts.get(account) ?? 0;
    if (count >= this.#maxPerAccount) return false;
    this.#counts.set(account, count + 1);
    this.#total += 1;
    return true;
  }

  /** Counts a call out. */
  leave(account: AccountName): void {
    const count = this.#counts.get(account) ?? 0;
    if (count <= 1) this.#counts.delete(account);
    else this.#counts.set(account, count - 1);
    this.#total -= 1;
    if (this.#total === 0) this.#release();
  }

  /** Resolves when no call is under way. */
  idle(): Promise<void> {
    if (this.#total === 0) return Promise.resolve();
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  #release(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const resolve of waiting) resolve();
  }
}
