/** Whether a bench's outcome reaches the target of its deployment. */
import type { DeploymentName } from './deployment-settings.js';
import { type RunFigures, roundFigure } from './measures.js';
import type { Variant } from './variants.js';

/** A variant with its figures. */
export interface VariantOutcome {
  readonly variant: Variant;
  /** Medians over the seeds. */
  readonly median: RunFigures;
  readonly runs: readonly RunFigures[];
}

/** Ours beside one baseline; changes are relative, negative is lower. */
export interface Comparison {
  readonly baseline: string;
  readonly idle_share_change: number;
  readonly staleness_p99_seconds_change: number;
  readonly staleness_p99_versions_difference: number;
  readonly staleness_mean_versions_difference: number;
  readonly reached: boolean;
}

/** Least reduction of the Cooperative's idle share. */
const IDLE_REDUCTION = 0.4;

/** Least reduction of the association's staleness p99, and most added idle share. */
const STALENESS_REDUCTION = 0.3;
const IDLE_ALLOWANCE = 0.05;

/** The baseline that is best in what the deployment weighs most. */
export function bestBaseline(
  deployment: DeploymentName,
  baselines: readonly VariantOutcome[],
): VariantOutcome {
  const weighed = deployment === 'cooperative' ? 'idle_share' : 'staleness_p99_seconds';
  const sorted = [...baselines].sort((left, right) => left.median[weighed] - right.median[weighed]);
  const best = sorted[0];
  if (best === undefined) throw new RangeError('there is no baseline');
  return best;
}

/** Compares ours with a baseline by the deployment's target. */
export function compare(
  deployment: DeploymentName,
  ours: RunFigures,
  baseline: VariantOutcome,
): Comparison {
  const other = baseline.median;
  const idle = ours.idle_share / other.idle_share - 1;
  const staleness = ours.staleness_p99_seconds / other.staleness_p99_seconds - 1;
  const versions = ours.staleness_p99_versions - other.staleness_p99_versions;
  const reached =
    deployment === 'cooperative'
      ? idle <= -IDLE_REDUCTION && versions <= 0 && staleness <= 0
      : staleness <= -STALENESS_REDUCTION && versions <= 0 && idle <= IDLE_ALLOWANCE;
  return {
    baseline: baseline.variant.name,
    idle_share_change: roundFigure(idle),
    staleness_p99_seconds_change: roundFigure(staleness),
    staleness_p99_versions_difference: versions,
    staleness_mean_versions_difference: roundFigure(
      ours.staleness_mean_versions - other.staleness_mean_versions,
    ),
    reached,
  };
}
