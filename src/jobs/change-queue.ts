/** Runs the changes of one job one after the other. */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { StillNeeded } from './job-store.js';

/** Minimum wait for a change: a number of polls, and their interval. */
const MIN_WAIT_POLLS = 10;
const WAIT_POLL_INTERVAL: Milliseconds = 50;

export class ChangeQueue {
  private last: Promise<unknown> = Promise.resolve();
  private isRunning = false;

  constructor(private readonly clock: Pick<Clock, 'sleep'>) {}

  /** Whether a change is in progress. */
  get isBusy(): boolean {
    return this.isRunning;
  }

  /** Runs a change after all earlier ones. */
  run<Value>(change: () => Promise<Value>): Promise<Value> {
    const turn = this.last.then(async () => {
      this.isRunning = true;
      try {
        return await change();
      } finally {
        this.isRunning = false;
      }
    });
    // A failed turn rejects only its own caller; the queue continues.
    this.last = turn.catch(() => undefined);
    return turn;
  }

  /** Waits for a change while it is needed, and at least for a minimum time; false on timeout. */
  async whileNeeded(change: Promise<boolean>, isStillNeeded: StillNeeded): Promise<boolean> {
    let outcome: boolean | undefined;
    void change.then((value) => {
      outcome = value;
    });
    for (let step = 0; step < MIN_WAIT_POLLS || isStillNeeded(); step += 1) {
      await Promise.race([change, this.clock.sleep(WAIT_POLL_INTERVAL)]);
      if (outcome !== undefined) return outcome;
    }
    return false;
  }
}
