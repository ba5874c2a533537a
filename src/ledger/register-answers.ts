/** Collects what the members of a majority hold of one register. */
import { type Ballot, compareBallots } from './ballot.js';

/** Answers to one `read` or `prepare`. */
export class RegisterAnswers {
  #highest: Ballot | null = null;
  #value: unknown = null;
  #count = 0;
  #isUniform = true;

  /** Adds one member's answer. */
  add(accepted: Ballot | null, value: unknown): void {
    const order = compareBallots(accepted, this.#highest);
    if (this.#count > 0 && order !== 0) this.#isUniform = false;
    this.#count += 1;
    if (order <= 0) return;
    this.#highest = accepted;
    this.#value = value;
  }

  /** The value with the highest accepted ballot; `null` where none was accepted. */
  get value(): unknown {
    return this.#value;
  }

  /**
   * Whether the value is known to be chosen: all members accepted it under one ballot of this
   * epoch, or none accepted anything. A ballot of an earlier epoch proves nothing, as members
   * that joined since hold copies.
   */
  isChosen(epoch: number): boolean {
    return this.#isUniform && (this.#highest === null || this.#highest.epoch === epoch);
  }
}
