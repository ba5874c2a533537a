/**
 * The command `proof NAME --seed N [--steps M] [--without MECHANISM]`: tries to break one promise
 * and prints one line of JSON at the end. `--list` prints the pairs `NAME MECHANISM`.
 *
 * A step is one generated operation or fault that was carried out. Exit code 0 means that no
 * oracle objected and that oracles compared something.
 */

import { SECOND } from '../../src/core/units.js';
import type { MechanismName } from '../../src/node/mechanisms.js';
import { numberFlag } from '../common/flags.js';
import type { CommandFlags } from '../main.js';
import { createNodeFactory } from '../simulation/node-core-factory.js';
import { PROOFS, proofNamed } from './catalogue.js';
import { proveDurableJobs } from './durable-jobs/durable-jobs.js';
import { isJobMechanism, JOB_MECHANISM_NAMES } from './durable-jobs/mechanisms.js';
import { isMechanismName } from './mechanism-names.js';
import type { ProofDefinition } from './proof-definition.js';
import { type FailingRun, type ProofOutcome, prove } from './prove.js';
import { type Trace, traceLines, writeTrace } from './trace.js';

/** The proof that accepted jobs stay whole. */
const DURABLE_JOBS = 'durable-jobs';

const DEFAULT_SEED = 1;
const DEFAULT_STEPS = 10_000;

/** Real time for making a failing run shorter, in seconds. */
const DEFAULT_SHRINK_SECONDS = 20;

/** Steps of a failing run that are printed. */
const PRINTED_STEPS = 40;

/** Exit code of a wrong command line. */
const USAGE_ERROR = 2;

/** Runs the command. */
export async function run(name: string, flags: CommandFlags): Promise<number> {
  if (flags.list) {
    printPairs();
    return 0;
  }
  if (name === DURABLE_JOBS) return runDurableJobs(flags);
  const proof = proofNamed(name);
  if (proof === undefined) {
    console.error(
      `There is no proof "${name}"; known: ${[...PROOFS.map((one) => one.name), DURABLE_JOBS].join(', ')}`,
    );
    return USAGE_ERROR;
  }
  const without = flags.without === undefined ? [] : [String(flags.without)];
  if (!without.every(isMechanismName)) {
    console.error(`There is no mechanism "${without.join()}"; see proof --list`);
    return USAGE_ERROR;
  }
  return runProof(proof, without, flags);
}

/** The proof of jobs in the shared store has nodes, faults and mechanisms of its own. */
async function runDurableJobs(flags: CommandFlags): Promise<number> {
  const without = flags.without === undefined ? [] : [String(flags.without)];
  if (!without.every(isJobMechanism)) {
    console.error(`There is no mechanism "${without.join()}"; see proof --list`);
    return USAGE_ERROR;
  }
  const seed = numberFlag(flags, 'seed', DEFAULT_SEED);
  const steps = numberFlag(flags, 'steps', DEFAULT_STEPS);
  const { details, ...outcome } = await proveDurableJobs(seed, steps, without);
  for (const line of details) console.error(line);
  console.log(JSON.stringify({ proof: DURABLE_JOBS, seed, ...outcome }));
  return outcome.holds ? 0 : 1;
}

function runProof(
  proof: ProofDefinition,
  without: readonly MechanismName[],
  flags: CommandFlags,
): number {
  const seed = numberFlag(flags, 'seed', DEFAULT_SEED);
  const outcome = prove({
    proof,
    createNode: createNodeFactory(without),
    without: without[0] ?? null,
    seed,
    steps: numberFlag(flags, 'steps', DEFAULT_STEPS),
    shrinkTime: numberFlag(flags, 'shrink-seconds', DEFAULT_SHRINK_SECONDS) * SECOND,
  });
  if (outcome.failing !== undefined) report(proof, without, outcome.failing, flags.trace);
  printResult(proof, seed, outcome);
  return outcome.holds ? 0 : 1;
}

function printPairs(): void {
  for (const proof of PROOFS) {
    for (const { mechanism } of proof.trials) console.log(`${proof.name} ${mechanism}`);
  }
  for (const mechanism of JOB_MECHANISM_NAMES) console.log(`${DURABLE_JOBS} ${mechanism}`);
}

function printResult(proof: ProofDefinition, seed: number, outcome: ProofOutcome): void {
  const { steps, faults, checked, violations, holds } = outcome;
  console.log(
    JSON.stringify({ proof: proof.name, seed, steps, faults, checked, violations, holds }),
  );
}

function report(
  proof: ProofDefinition,
  without: readonly MechanismName[],
  failing: FailingRun,
  file: CommandFlags[string],
): void {
  for (const violation of failing.violations.slice(0, 5)) {
    console.error(`violation at ${Math.round(violation.at)} ms: ${violation.detail}`);
  }
  const trace = traceOf(proof, without, failing);
  if (typeof file === 'string') writeTrace(file, trace);
  const lines = traceLines(trace);
  console.error(`trace of ${failing.steps.length} steps (replay with: replay FILE):`);
  for (const line of lines.slice(0, PRINTED_STEPS)) console.error(line);
  if (lines.length > PRINTED_STEPS) {
    console.error(`... ${lines.length - PRINTED_STEPS} more; --trace FILE writes all`);
  }
}

function traceOf(
  proof: ProofDefinition,
  without: readonly MechanismName[],
  failing: FailingRun,
): Trace {
  const header = {
    kind: 'header' as const,
    proof: proof.name,
    simulationSeed: failing.simulationSeed,
    without: [...without],
    note: 'found by proof',
    outcome: { holds: false, firstViolation: failing.violations[0]?.detail ?? null },
  };
  return { header, steps: failing.steps };
}
