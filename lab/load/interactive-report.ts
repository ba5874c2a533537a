/** What interactive callers received, as their oracle judged it. */
import { RefusalCounts } from './refusal-counts.js';

/** Counts of all callers of one deployment. */
export class InteractiveReport extends RefusalCounts {
  asked = 0;
  answered = 0;
  orders = 0;
  wrongText = 0;
  /** Order repeats whose answer was not the first one. */
  differentRepeats = 0;
  /** Orders that engines accepted more than once. */
  ordersRunTwice = 0;
  /** Answers "not run" to work that an engine had accepted. */
  falseNotRun = 0;
  /** Requests in the engines' own logs. */
  accepted = 0;
  readonly latencies: number[] = [];

  /** Whether all promises held. */
  get holds(): boolean {
    const faults = [this.wrongText, this.differentRepeats, this.ordersRunTwice, this.falseNotRun];
    return faults.every((count) => count === 0) && this.answered > 0;
  }
}
