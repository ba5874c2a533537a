/** Statistics of plain lists of numbers, for figures of benches and experiments. */

/** Value at a share of the sorted values, in `[0, 1]`, by nearest rank; `NaN` of none. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const rank = Math.min(sorted.length, Math.max(1, Math.ceil(share * sorted.length)));
  return sorted[rank - 1] ?? Number.NaN;
}

/** Arithmetic mean; `NaN` of none. */
export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Middle value; the mean of the two middle ones of an even count; `NaN` of none. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? Number.NaN;
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? Number.NaN) + upper) / 2;
}

/** Rounds to a number of decimals. */
export function round(value: number, decimals: number): number {
  const factor = 10 ** decimals;
  return Math.round(value * factor) / factor;
}
