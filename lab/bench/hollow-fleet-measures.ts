/** Measures shared by the benches on hollow fleets: memory, processor time, slopes, histograms. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { build, type Histogram } from 'hdr-histogram-js';
import { mean, round } from '../common/statistics.js';

let collectGarbage: (() => void) | null = null;

/** Bytes of the heap in use after a garbage collection. */
export function heapInUse(): number {
  if (collectGarbage === null) {
    setFlagsFromString('--expose-gc');
    collectGarbage = runInNewContext('gc') as () => void;
  }
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** Processor time of this process so far, in milliseconds. */
export function processorMilliseconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

/** A histogram of durations in whole milliseconds, three significant digits. */
export function durationHistogram(): Histogram {
  return build({ highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 });
}

/** Percentiles of a histogram, in milliseconds. */
export interface DurationSummary {
  readonly count: number;
  readonly p50_ms: number;
  readonly p99_ms: number;
  readonly max_ms: number;
}

/** Summarizes a histogram. */
export function summarize(histogram: Histogram): DurationSummary {
  return {
    count: histogram.totalCount,
    p50_ms: histogram.getValueAtPercentile(50),
    p99_ms: histogram.getValueAtPercentile(99),
    max_ms: round(histogram.maxValue, 1),
  };
}

/** Slope of a least-squares line through points, as the rise of `y` per 1,000 of `x`. */
export function slopePerThousand(points: readonly { x: number; y: number }[]): number {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  return variance === 0 ? 0 : round((covariance / variance) * 1_000, 4);
}
