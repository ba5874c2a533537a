/**
 * Tries to break one promise: fast-check generates model runs from a seed, many until enough steps
 * were taken; the first run that breaks the promise is made shorter for a bounded time.
 */
import fc from 'fast-check';
import type { MechanismName } from '../../src/node/mechanisms.js';
import type { Step } from '../simulation/action.js';
import type { NodeFactory } from '../simulation/ports.js';
import { steps } from './action-arbitraries.js';
import type { Violation } from './oracle.js';
import type { ProofDefinition } from './proof-definition.js';
import { beginRun, endRun, type ProofRun, type RunSetting, takeStep } from './run-steps.js';

/** Most steps of one generated run. */
const STEPS_PER_RUN = 600;

/** What a proof is asked to do. */
export interface ProveOptions {
  readonly proof: ProofDefinition;
  readonly createNode: NodeFactory;
  /** Mechanism that is switched off; then only its trial is run. */
  readonly without: MechanismName | null;
  readonly seed: number;
  /** Generated operations and faults to be carried out at least, over all runs. */
  readonly steps: number;
  /** Time for making a failing run shorter, in milliseconds of real time. */
  readonly shrinkTime: number;
}

/** A run that broke the promise, as short as it was made. */
export interface FailingRun {
  readonly simulationSeed: number;
  readonly steps: readonly Step[];
  readonly violations: readonly Violation[];
  readonly violationCount: number;
  readonly checked: number;
}

/** What a proof found. */
export interface ProofOutcome {
  readonly steps: number;
  readonly faults: number;
  readonly checked: number;
  readonly violations: number;
  readonly holds: boolean;
  readonly failing: FailingRun | undefined;
}

/** Thrown inside a model run as soon as an oracle objects. */
class PromiseBroken extends Error {}

/** The model of a run is empty: oracles judge, and the scenario limits the faults. */
type NoModel = Readonly<Record<string, never>>;

class StepCommand implements fc.Command<NoModel, ProofRun> {
  readonly #step: Step;

  constructor(step: Step) {
    this.#step = step;
  }

  check(): boolean {
    return true;
  }

  run(_model: NoModel, run: ProofRun): void {
    takeStep(run, this.#step);
    if (run.oracle.violationCount > 0) throw new PromiseBroken();
  }

  toString(): string {
    return JSON.stringify(this.#step);
  }
}

/** Tries to break a promise. */
export function prove(options: ProveOptions): ProofOutcome {
  const generators = generatorsOf(options);
  const [first] = generators;
  const total = { steps: 0, faults: 0, checked: 0 };
  for (let round = 0; total.steps < options.steps; round += 1) {
    const seed = roundSeed(options.seed, round);
    const attempt = tryRound(options, seed, generators[round % generators.length] ?? first);
    total.steps += attempt.first.taken;
    total.faults += attempt.first.faults;
    total.checked += attempt.first.oracle.checked;
    const { failing } = attempt;
    if (failing !== undefined) {
      return { ...total, violations: failing.violationCount, holds: false, failing };
    }
  }
  return { ...total, violations: 0, holds: total.checked > 0, failing: undefined };
}

type StepGenerator = fc.Arbitrary<Step>;

interface RoundResult {
  readonly first: ProofRun;
  readonly failing: FailingRun | undefined;
}

/** What the rounds take turns between. */
function generatorsOf({ proof, without }: ProveOptions): [StepGenerator, ...StepGenerator[]] {
  const trials = proof.trials.map((trial) => ({
    mechanism: trial.mechanism,
    generator: steps(trial.weights, trial.longestPause),
  }));
  const only = trials.find((trial) => trial.mechanism === without);
  if (only !== undefined) return [only.generator];
  return [steps(proof.weights), ...trials.map((trial) => trial.generator)];
}

function tryRound(
  options: ProveOptions,
  simulationSeed: number,
  generator: StepGenerator,
): RoundResult {
  const setting: RunSetting = { ...options, seed: simulationSeed };
  let first: ProofRun | undefined;
  let failed: ProofRun | undefined;
  const commands = fc.commands([generator.map((step) => new StepCommand(step))], {
    maxCommands: STEPS_PER_RUN,
    size: 'max',
  });
  const property = fc.property(commands, (generated) => {
    const run = beginRun(setting);
    first ??= run;
    try {
      fc.modelRun(() => ({ model: {}, real: run }), generated);
      endRun(run);
    } catch (error) {
      if (!(error instanceof PromiseBroken)) throw error;
    }
    if (run.oracle.violationCount === 0) return true;
    failed = run;
    return false;
  });
  const details = fc.check(property, {
    seed: simulationSeed,
    numRuns: 1,
    unbiased: true,
    interruptAfterTimeLimit: options.shrinkTime,
    markInterruptAsFailure: false,
  });
  if (first === undefined) throw new Error('fast-check made no run');
  if (details.failed && failed === undefined) throw details.errorInstance ?? new Error('no run');
  return { first, failing: failed === undefined ? undefined : failingRun(failed, simulationSeed) };
}

function failingRun(run: ProofRun, simulationSeed: number): FailingRun {
  const { violations, violationCount, checked } = run.oracle;
  return { simulationSeed, steps: run.steps, violations, violationCount, checked };
}

/** Seed of one generated run; rounds of neighbouring seeds do not coincide. */
function roundSeed(seed: number, round: number): number {
  return (Math.imul(seed, 0x9e3779b1) ^ Math.imul(round + 1, 0x85ebca6b)) | 0;
}
