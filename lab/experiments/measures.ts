/** The figures of one run, their medians over runs, and their rounding. */
import { median, round } from '../common/statistics.js';

/** Figures of one run; shares are in `[0, 1]`. */
export interface RunFigures {
  readonly idle_share: number;
  readonly staleness_mean_versions: number;
  readonly staleness_p99_versions: number;
  readonly staleness_mean_seconds: number;
  readonly staleness_p99_seconds: number;
  readonly interactive_p99_seconds: number;
  readonly shared_interactive_p99_seconds: number;
  readonly step_p50_seconds: number;
  readonly step_p99_seconds: number;
  readonly steps_used: number;
  /** Attempts whose tokens were thrown away, over samples used. */
  readonly samples_wasted_share: number;
  readonly tokens_wasted_share: number;
}

/** Median by figure over runs that differ in their seed only. */
export function medianFigures(runs: readonly RunFigures[]): RunFigures {
  const first = runs[0];
  if (first === undefined) throw new RangeError('no runs to take the median of');
  const names = Object.keys(first) as (keyof RunFigures)[];
  const entries = names.map((name) => [name, roundFigure(median(runs.map((run) => run[name])))]);
  return Object.fromEntries(entries) as RunFigures;
}

/** Rounds to the four decimals in which figures are given. */
export function roundFigure(value: number): number {
  return round(value, 4);
}
