/**
 * The one limit on faults: replicas keep nothing on a disk, so a majority of a group must not
 * forget before the group is whole again. At most {@link FORGETFUL_LIMIT} nodes may end (be killed
 * or stopped) until {@link REPAIR_WINDOW} has passed in which the rest could repair the group:
 * faults that hinder the repair lengthen it. Everything else is unlimited.
 */
import type { Milliseconds } from '../../src/core/units.js';
import { durationOf, type Step } from '../simulation/action.js';

/** Nodes that may be forgetful at once; a majority of five replicas remains. */
export const FORGETFUL_LIMIT = 2;

/** Undisturbed time after which a group counts as whole again. */
export const REPAIR_WINDOW: Milliseconds = 15_000;

/** Faults that do not hinder the repair of a group. */
const HARMLESS_TO_REPAIR: ReadonlySet<string> = new Set([
  'kill',
  'stop',
  'clock-rate',
  'crash-engine',
  'fail-swaps',
  'worker-leaves',
  'watches-break',
  'machine-list-lag',
]);

/** Time and forgetful nodes of a run, as far as its steps tell. */
export class FaultBudget {
  #now: Milliseconds = 0;
  #disturbedUntil: Milliseconds = 0;
  #forgetfulUntil: Milliseconds[] = [];

  /** Whether a step may be taken now. */
  allows(step: Step): boolean {
    const { kind } = step.action;
    if (kind !== 'kill' && kind !== 'stop') return true;
    const time = this.#now + step.after;
    return this.#forgetfulUntil.filter((until) => until > time).length < FORGETFUL_LIMIT;
  }

  /** Notes that a step was taken. */
  note(step: Step): void {
    this.#now += step.after;
    const end = this.#now + durationOf(step.action);
    const { kind } = step.action;
    if (kind === 'kill' || kind === 'stop') {
      this.#forgetfulUntil.push(Math.max(end, this.#disturbedUntil) + REPAIR_WINDOW);
    } else if (!HARMLESS_TO_REPAIR.has(kind) && 'duration' in step.action) {
      this.#disturbedUntil = Math.max(this.#disturbedUntil, end);
      this.#forgetfulUntil = this.#forgetfulUntil.map((until) =>
        until > this.#now ? Math.max(until, end + REPAIR_WINDOW) : until,
      );
    }
  }
}
