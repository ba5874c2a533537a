/** Runs all variants of a deployment on several seeds and compares them with ours. */
import { numberFlag } from '../common/flags.js';
import type { CommandFlags } from '../main.js';
import { runDeployment } from './deployment-model.js';
import { DEPLOYMENTS, type DeploymentName } from './deployment-settings.js';
import { medianFigures, roundFigure } from './measures.js';
import { writeReport } from './report.js';
import { bestBaseline, compare, type VariantOutcome } from './targets.js';
import { ISSUE_ROUTINGS, variantsOf } from './variants.js';

const DEFAULT_SEED_COUNT = 3;

/** Distance between seeds, as one run derives several from its own. */
const SEED_STEP = 10_000;

const REPORT_FOLDER = 'docs/results';

/** Runs the variants; one seed fixes faults and work for all of them. */
function runVariants(
  deployment: DeploymentName,
  seeds: readonly number[],
): readonly VariantOutcome[] {
  const settings = DEPLOYMENTS[deployment];
  return variantsOf(deployment).map((variant) => {
    const runs = seeds.map((seed) => runDeployment(settings, variant, seed));
    const median = medianFigures(runs);
    console.log(JSON.stringify({ variant: variant.name, ...median }));
    return { variant, median, runs };
  });
}

function summaryOf(
  deployment: DeploymentName,
  seeds: readonly number[],
  outcomes: readonly VariantOutcome[],
) {
  const ours = outcomes.find(({ variant }) => variant.role === 'ours');
  if (ours === undefined) throw new RangeError('our variant was not run');
  const baselines = outcomes.filter(({ variant }) => variant.role === 'baseline');
  const plain = baselines.filter(
    ({ variant }) => ISSUE_ROUTINGS.includes(variant.routing) && variant.isPlain,
  );
  const target = compare(deployment, ours.median, bestBaseline(deployment, baselines));
  return {
    bench: deployment,
    seeds,
    ours: ours.median,
    against_best_baseline: target,
    against_best_plain_baseline: compare(deployment, ours.median, bestBaseline(deployment, plain)),
    holds: target.reached,
  };
}

/** Runs a bench by the flags `--seed`, `--seeds` and `--report`; exit code 0 at the target. */
export async function runBench(deployment: DeploymentName, flags: CommandFlags): Promise<number> {
  const wallStart = performance.now();
  const firstSeed = numberFlag(flags, 'seed', 1);
  const count = numberFlag(flags, 'seeds', DEFAULT_SEED_COUNT);
  const seeds = Array.from({ length: count }, (_, index) => firstSeed + index * SEED_STEP);
  const outcomes = runVariants(deployment, seeds);
  const summary = summaryOf(deployment, seeds, outcomes);
  if (flags.report) writeReport(REPORT_FOLDER, deployment, seeds, outcomes, summary);
  const wall_seconds = roundFigure((performance.now() - wallStart) / 1_000);
  console.log(JSON.stringify({ ...summary, wall_seconds }));
  return summary.holds ? 0 : 1;
}
