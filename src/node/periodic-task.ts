/** Tells when something that is done at intervals is due. */
import type { Milliseconds } from '../core/units.js';

/** A task with a fixed interval; due at once the first time. */
export class PeriodicTask {
  private next = Number.NEGATIVE_INFINITY;

  constructor(private readonly interval: Milliseconds) {}

  /** Whether the task is due; if so the next time is one interval away. */
  isDue(now: Milliseconds): boolean {
    if (now < this.next) return false;
    this.next = now + this.interval;
    return true;
  }
}
