/**
 * Priority queue of simulated time: a binary heap ordered by time, and by order of insertion where
 * times are equal, so that a run is the same on every machine.
 */
import type { Milliseconds } from '../../src/core/units.js';

/** Something to be done at a point of simulated time. */
export type ScheduledAction = () => void;

interface QueueEntry {
  readonly at: Milliseconds;
  readonly sequence: number;
  readonly action: ScheduledAction;
}

function isBefore(left: QueueEntry, right: QueueEntry): boolean {
  return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}

/** Simulated time with the actions that are still to come. */
export class EventQueue {
  readonly #heap: QueueEntry[] = [];
  #sequence = 0;
  #now: Milliseconds = 0;

  /** The present point of simulated time, in milliseconds from the start of the run. */
  get now(): Milliseconds {
    return this.#now;
  }

  /** How many actions are waiting. */
  get size(): number {
    return this.#heap.length;
  }

  /** Schedules an action after a delay; a negative delay counts as none. */
  after(delay: Milliseconds, action: ScheduledAction): void {
    this.at(this.#now + delay, action);
  }

  /** Schedules an action for a point of time; one that has passed counts as the present. */
  at(time: Milliseconds, action: ScheduledAction): void {
    const at = Math.max(time, this.#now);
    this.#heap.push({ at, sequence: this.#sequence, action });
    this.#sequence += 1;
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs all actions due up to and including a point of time, which becomes the present. */
  runUntil(end: Milliseconds): void {
    for (;;) {
      const first = this.#heap[0];
      if (first === undefined || first.at > end) break;
      this.#removeFirst();
      this.#now = first.at;
      first.action();
    }
    this.#now = Math.max(this.#now, end);
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) return;
    this.#heap[0] = last;
    this.#siftDown();
  }

  #siftUp(start: number): void {
    let child = start;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (!this.#swapIfBefore(child, parent)) return;
      child = parent;
    }
  }

  #siftDown(): void {
    let parent = 0;
    for (;;) {
      const left = 2 * parent + 1;
      const smaller = this.#smallerChild(left);
      if (smaller === undefined || !this.#swapIfBefore(smaller, parent)) return;
      parent = smaller;
    }
  }

  #smallerChild(left: number): number | undefined {
    const leftEntry = this.#heap[left];
    const rightEntry = this.#heap[left + 1];
    if (leftEntry === undefined) return undefined;
    return rightEntry !== undefined && isBefore(rightEntry, leftEntry) ? left + 1 : left;
  }

  #swapIfBefore(lower: number, upper: number): boolean {
    const lowerEntry = this.#heap[lower];
    const upperEntry = this.#heap[upper];
    if (lowerEntry === undefined || upperEntry === undefined) return false;
    if (!isBefore(lowerEntry, upperEntry)) return false;
    this.#heap[lower] = upperEntry;
    this.#heap[upper] = lowerEntry;
    return true;
  }
}
