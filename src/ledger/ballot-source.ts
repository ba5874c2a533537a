/** Makes the ballots of one proposer: higher than all it has seen, and never one twice. */
import type { Ballot } from './ballot.js';
import type { LedgerEnvironment } from './environment.js';

/** Ballots of one register's proposer. */
export class BallotSource<Value> {
  readonly #environment: LedgerEnvironment<Value>;
  #highestCounter = 0;

  constructor(environment: LedgerEnvironment<Value>) {
    this.#environment = environment;
  }

  /** Notes a counter that new ballots have to exceed. */
  observe(counter: number): void {
    this.#highestCounter = Math.max(this.#highestCounter, counter);
  }

  /** A new ballot of an epoch. */
  next(epoch: number): Ballot {
    this.#highestCounter += 1;
    return {
      epoch,
      counter: this.#highestCounter,
      proposer: this.#environment.selfKey,
      sequence: this.#environment.nextRequest(),
    };
  }
}
