/**
 * An oracle judges what was observed of a run against one promise. It knows nothing of the
 * implementation and counts the comparisons it made, so that a run that compared nothing proves
 * nothing.
 */
import type { Milliseconds } from '../../src/core/units.js';
import type { Observation } from '../simulation/observation.js';

/** One observation that breaks a promise. */
export interface Violation {
  readonly at: Milliseconds;
  readonly detail: string;
}

/** How many violations are kept in words; further ones are only counted. */
const KEPT_VIOLATIONS = 20;

/** What all oracles share. */
export abstract class Oracle {
  readonly #violations: Violation[] = [];
  #checked = 0;
  #violationCount = 0;

  /** Comparisons made so far. */
  get checked(): number {
    return this.#checked;
  }

  /** Comparisons that failed. */
  get violationCount(): number {
    return this.#violationCount;
  }

  /** The first of the violations. */
  get violations(): readonly Violation[] {
    return this.#violations;
  }

  /** Takes the next observation; they come in order of time. */
  abstract observe(observation: Observation): void;

  /** Judges what can be judged only at the end, when the system has settled. */
  finish(_now: Milliseconds): void {}

  /** Makes one comparison. */
  protected compare(holds: boolean, at: Milliseconds, detail: () => string): void {
    this.#checked += 1;
    if (holds) return;
    this.#violationCount += 1;
    if (this.#violations.length < KEPT_VIOLATIONS) this.#violations.push({ at, detail: detail() });
  }
}
