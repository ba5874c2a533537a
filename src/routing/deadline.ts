/**
 * Deadlines across nodes whose clocks are not synchronized: each hop is told the time that is left,
 * less an allowance for the way there and back, and makes a deadline on its own clock of it.
 */
import { remaining } from '../core/generation.js';
import type { Milliseconds } from '../core/units.js';

/** Time kept back at each hop for the answer's way back. */
export const HOP_ALLOWANCE: Milliseconds = 20;

/** Time to grant the next hop; `undefined` where too little is left to try. */
export function timeForNextHop(
  deadline: Milliseconds,
  now: Milliseconds,
  allowance: Milliseconds = HOP_ALLOWANCE,
): Milliseconds | undefined {
  const granted = remaining(deadline, now) - allowance;
  return granted > 0 ? granted : undefined;
}

/** A deadline on this node's clock from the time the hop before granted. */
export function deadlineFromGrant(granted: Milliseconds, now: Milliseconds): Milliseconds {
  return now + Math.max(0, granted);
}

/** Whether a retry after a wait still has the time a run is expected to take. */
export function hasTimeForRetry(
  deadline: Milliseconds,
  now: Milliseconds,
  wait: Milliseconds,
  expectedRun: Milliseconds,
): boolean {
  return remaining(deadline, now + wait) > expectedRun;
}
