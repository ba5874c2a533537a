/** Runs given steps against a proof's oracle, from the start of a deployment to its settling. */

import { isFault, type Step } from '../simulation/action.js';
import { associationPlan } from '../simulation/fleet-plan.js';
import type { NodeFactory } from '../simulation/ports.js';
import { Scenario } from '../simulation/scenario.js';
import { Simulation } from '../simulation/simulation.js';
import type { Oracle } from './oracle.js';
import type { ProofDefinition } from './proof-definition.js';

/** What one run is made of, besides its steps. */
export interface RunSetting {
  readonly proof: ProofDefinition;
  readonly createNode: NodeFactory;
  readonly seed: number;
}

/** A run that has begun. */
export interface ProofRun {
  readonly scenario: Scenario;
  readonly oracle: Oracle;
  /** All steps so far, with those that were left out, since their pauses count. */
  readonly steps: Step[];
  /** Steps taken so far. */
  taken: number;
  /** Faults among them. */
  faults: number;
}

/** Begins a run: the deployment is up and serves. */
export function beginRun(setting: RunSetting): ProofRun {
  const oracle = setting.proof.createOracle();
  const simulation = new Simulation({
    seed: setting.seed,
    plan: associationPlan(setting.proof.medianTokens),
    createNode: setting.createNode,
    observeMessages: setting.proof.observeMessages,
  });
  simulation.addObserver((observation) => oracle.observe(observation));
  const scenario = new Scenario(simulation);
  scenario.begin();
  return { scenario, oracle, steps: [], taken: 0, faults: 0 };
}

/** Takes one step; false where taking it would leave a replica group without a majority. */
export function takeStep(run: ProofRun, step: Step): boolean {
  run.steps.push(step);
  if (!run.scenario.take(step)) return false;
  run.taken += 1;
  if (isFault(step.action)) run.faults += 1;
  return true;
}

/** Ends a run: all faults are healed, the system settles, the oracle judges the whole. */
export function endRun(run: ProofRun): void {
  run.scenario.settle();
  run.oracle.finish(run.scenario.simulation.queue.now);
}

/** Runs given steps from beginning to end. */
export function runSteps(setting: RunSetting, steps: readonly Step[]): ProofRun {
  const run = beginRun(setting);
  for (const step of steps) {
    takeStep(run, step);
    if (run.oracle.violationCount > 0) return run;
  }
  endRun(run);
  return run;
}
