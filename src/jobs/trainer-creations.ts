/**
 * Lets the creations of one trainer's jobs follow one another on this node, since each replaces the
 * trainer's record and would conflict with another that is under way.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { JobSpecification } from './job-records.js';
import { type TrainerKey, trainerKeyOf } from './trainer-record.js';

/** Time after which a job no longer waits for the one before, because the store is slow. */
const MAX_WAIT: Milliseconds = 150;

export class TrainerCreations {
  /** The last creation of each trainer that waits or is under way. */
  private readonly last = new Map<TrainerKey, Promise<unknown>>();

  constructor(private readonly clock: Pick<Clock, 'sleep'>) {}

  /** Runs a creation after the preceding one of the trainer, or after a time limit. */
  run<Value>(spec: JobSpecification, create: () => Promise<Value>): Promise<Value> {
    const key = trainerKeyOf(spec);
    const preceding = this.last.get(key);
    const creation = this.runAfter(preceding, create);
    this.last.set(key, creation);
    const remove = (): void => {
      if (this.last.get(key) === creation) this.last.delete(key);
    };
    void creation.then(remove, remove);
    return creation;
  }

  private async runAfter<Value>(
    preceding: Promise<unknown> | undefined,
    create: () => Promise<Value>,
  ): Promise<Value> {
    // A failure of the preceding creation concerns only its own caller.
    const isOver = preceding?.catch(() => undefined);
    if (isOver !== undefined) await Promise.race([isOver, this.clock.sleep(MAX_WAIT)]);
    return create();
  }
}
