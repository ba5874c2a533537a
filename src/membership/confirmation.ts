/**
 * Whether this life is known to be part of the fleet. A node that was frozen, or that others
 * declared dead, has to hear from a peer again before it may act.
 */
import type { Milliseconds } from '../core/units.js';

/** Confirmation of one life. */
export class Confirmation {
  private confirmed = false;
  private replaced = false;
  private lastActiveAt: Milliseconds | null = null;
  private nextAttemptAt: Milliseconds = 0;

  constructor(
    /** Longest time between two events of a node that was not frozen. */
    private readonly longestGap: Milliseconds,
    private readonly attemptInterval: Milliseconds,
  ) {}

  /** Notes that the node runs; true when it stood still for too long before. */
  wokeAfterGap(now: Milliseconds): boolean {
    const since = now - (this.lastActiveAt ?? now);
    this.lastActiveAt = now;
    if (since <= this.longestGap) return false;
    this.lose(now);
    return true;
  }

  /** This life is no longer confirmed; an attempt to be confirmed anew is due at once. */
  lose(now: Milliseconds): void {
    this.confirmed = false;
    this.nextAttemptAt = now;
  }

  /** A later life of this node exists; this one can never be confirmed again. */
  replace(): void {
    this.replaced = true;
  }

  /** Whether a later life of this node exists. */
  isReplaced(): boolean {
    return this.replaced;
  }

  /** True when this confirms a life that was not confirmed. */
  confirm(): boolean {
    const isNew = !this.confirmed && !this.replaced;
    this.confirmed = true;
    return isNew;
  }

  /** Whether a peer has confirmed this life and the node has not stood still since. */
  isConfirmed(now: Milliseconds): boolean {
    if (!this.confirmed || this.replaced || this.lastActiveAt === null) return false;
    return now - this.lastActiveAt <= this.longestGap;
  }

  /** Whether it is time to ask peers for a confirmation. */
  isAttemptDue(now: Milliseconds): boolean {
    if (this.confirmed || this.replaced || now < this.nextAttemptAt) return false;
    this.nextAttemptAt = now + this.attemptInterval;
    return true;
  }
}
