/** Runs all variants of a deployment on several seeds and compares them with ours. */
import type { CommandFlags } from '../main.js';
import { runDeployment } from './deployment-model.js';
import { DEPLOYMENTS, type DeploymentName } from './deployment-settings.js';
import { medianFigures, type RunFigures, round } from './measures.js';
import { type Variant, variantsOf } from './variants.js';

const DEFAULT_SEED_COUNT = 3;

/** A variant with its figures. */
export interface VariantOutcome {
  readonly variant: Variant;
  /** Medians over the seeds. */
  readonly median: RunFigures;
  readonly runs: readonly RunFigures[];
}

/** What a bench found. */
export interface BenchOutcome {
  readonly deployment: DeploymentName;
  readonly seeds: readonly number[];
  readonly outcomes: readonly VariantOutcome[];
}

/** Runs the variants; one seed fixes faults and work for all of them. */
export function runVariants(deployment: DeploymentName, seeds: readonly number[]): BenchOutcome {
  const settings = DEPLOYMENTS[deployment];
  const outcomes = variantsOf(deployment).map((variant) => {
    const runs = seeds.map((seed) => runDeployment(settings, variant, seed));
    const median = medianFigures(runs);
    console.log(JSON.stringify({ variant: variant.name, ...median }));
    return { variant, median, runs };
  });
  return { deployment, seeds, outcomes };
}

/** Runs a bench by the flags `--seed`, `--seeds` and `--report`. */
export async function runBench(deployment: DeploymentName, flags: CommandFlags): Promise<number> {
  const wallStart = performance.now();
  const firstSeed = Number(flags.seed ?? 1);
  const count = Number(flags.seeds ?? DEFAULT_SEED_COUNT);
  const seeds = Array.from({ length: count }, (_, index) => firstSeed + index * 10_000);
  const outcome = runVariants(deployment, seeds);
  console.log(JSON.stringify({ wall_seconds: round((performance.now() - wallStart) / 1_000) }));
  return outcome.outcomes.length > 0 ? 0 : 1;
}
