/** Percentiles, medians and the figures of one run. */

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

/** Value at a share of the sorted values (nearest rank); `NaN` of none. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const rank = Math.min(sorted.length, Math.max(1, Math.ceil(share * sorted.length)));
  return sorted[rank - 1] ?? Number.NaN;
}

/** Arithmetic mean; `NaN` of none. */
export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Median by figure over runs that differ in their seed only. */
export function medianFigures(runs: readonly RunFigures[]): RunFigures {
  const first = runs[0];
  if (first === undefined) throw new RangeError('no runs to take the median of');
  const names = Object.keys(first) as (keyof RunFigures)[];
  const entries = names.map((name) => [name, round(median(runs.map((run) => run[name])))]);
  return Object.fromEntries(entries) as RunFigures;
}

/** Middle value; the mean of the two middle ones of an even count. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? Number.NaN;
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? Number.NaN) + upper) / 2;
}

/** Rounds to four decimals. */
export function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
