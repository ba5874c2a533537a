/**
 * Ballots order the attempts to change a register. The epoch of the replica group is the most
 * significant part, so that a value accepted in a later epoch always outranks one that was only
 * carried over from an earlier epoch.
 */

/** One attempt; unique, as a proposer never reuses a sequence number within one life. */
export interface Ballot {
  readonly epoch: number;
  readonly counter: number;
  /** Identity key of the proposing node's life. */
  readonly proposer: string;
  readonly sequence: number;
}

/** Negative where the left ballot is lower, 0 where both are the same, positive otherwise. */
export function compareBallots(left: Ballot | null, right: Ballot | null): number {
  if (left === null) return right === null ? 0 : -1;
  if (right === null) return 1;
  if (left.epoch !== right.epoch) return left.epoch - right.epoch;
  if (left.counter !== right.counter) return left.counter - right.counter;
  if (left.proposer !== right.proposer) return left.proposer < right.proposer ? -1 : 1;
  return left.sequence - right.sequence;
}

/** The higher of two ballots. */
export function higherBallot(left: Ballot | null, right: Ballot | null): Ballot | null {
  return compareBallots(left, right) >= 0 ? left : right;
}
