/** Runs a trace and says how its outcome differs from the stated one. */
import { proofNamed } from '../proofs/catalogue.js';
import { runSteps } from '../proofs/run-steps.js';
import type { Trace, TraceOutcome } from '../proofs/trace.js';
import type { NodeFactory } from '../simulation/ports.js';

/** What came of a replay. */
export interface ReplayResult {
  readonly holds: boolean;
  readonly checked: number;
  readonly violations: number;
  /** One line for each part of the outcome that differs; empty where it is as stated. */
  readonly differences: readonly string[];
}

/** Replays a trace. Throws where it names no known proof. */
export function replayTrace(trace: Trace, createNode: NodeFactory): ReplayResult {
  const proof = proofNamed(trace.header.proof);
  if (proof === undefined) throw new RangeError(`there is no proof "${trace.header.proof}"`);
  const run = runSteps({ proof, createNode, seed: trace.header.simulationSeed }, trace.steps);
  const { checked, violationCount, violations } = run.oracle;
  const holds = violationCount === 0 && checked > 0;
  const actual: TraceOutcome = { holds, firstViolation: violations[0]?.detail ?? null };
  const differences = differencesOf(trace.header.outcome, actual);
  return { holds, checked, violations: violationCount, differences };
}

/** A trace that fails without stating how may fail in any way. */
function differencesOf(stated: TraceOutcome, actual: TraceOutcome): string[] {
  const parts = ['holds', 'firstViolation'] as const;
  return parts
    .filter((part) => part === 'holds' || stated.holds || stated.firstViolation !== null)
    .filter((part) => stated[part] !== actual[part])
    .map((part) => `${part}: stated ${String(stated[part])}, came out ${String(actual[part])}`);
}
