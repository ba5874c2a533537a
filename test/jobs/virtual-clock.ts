/** A clock whose time passes only when a test lets it pass. */
import type { Milliseconds } from '../../src/core/units.js';
import type { Clock } from '../../src/serving/clock.js';

interface Sleeper {
  readonly at: Milliseconds;
  readonly wake: () => void;
}

/** Steady and wall-clock time of all nodes in a test; sleeps end when their time is reached. */
export class VirtualClock implements Clock {
  private time: Milliseconds = 1_000;
  private readonly startedAt = Date.now();
  private sleepers: Sleeper[] = [];

  now(): Milliseconds {
    return this.time;
  }

  suspendedTime(): Milliseconds {
    return 0;
  }

  wallTime(): Milliseconds {
    return this.startedAt + this.time;
  }

  sleep(duration: Milliseconds): Promise<void> {
    return new Promise((wake) => this.sleepers.push({ at: this.time + duration, wake }));
  }

  /** Time at which the next sleep ends; infinite if none is in progress. */
  get nextWakeAt(): Milliseconds {
    return Math.min(...this.sleepers.map(({ at }) => at));
  }

  /** Lets time pass up to a time, and ends the sleeps due by then in the order of their times. */
  advanceTo(time: Milliseconds): void {
    this.time = Math.max(this.time, time);
    const due = this.sleepers.filter(({ at }) => at <= this.time);
    this.sleepers = this.sleepers.filter(({ at }) => at > this.time);
    for (const { wake } of due.sort((left, right) => left.at - right.at)) wake();
  }
}
