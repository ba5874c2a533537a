/**
 * How fast the samples of a step come: the typical time of a token and of a sample, from which it
 * can be told that a running sample is late.
 */
import type { Milliseconds, TokenCount } from '../core/units.js';

/** Finished samples remembered. */
const MEMORY = 128;
/** Finished samples needed before anything is told. */
const MINIMUM_HISTORY = 8;

/** Pace of one step. */
export class StepPace {
  private readonly durations: Milliseconds[] = [];
  private readonly tokenTimes: Milliseconds[] = [];
  /** Median time of a token, until the next sample; `undefined` without enough history. */
  private tokenTime: Milliseconds | undefined;

  /** Notes a finished sample. */
  record(tokens: TokenCount, duration: Milliseconds): void {
    push(this.durations, duration);
    if (tokens <= 0) return;
    push(this.tokenTimes, duration / tokens);
    this.tokenTime = undefined;
  }

  /** Median time of a sample; `undefined` without enough history. */
  typicalDuration(): Milliseconds | undefined {
    return median(this.durations);
  }

  /** Time a sample of a predicted length should take; `undefined` without enough history. */
  expectedDuration(tokens: TokenCount): Milliseconds | undefined {
    this.tokenTime ??= median(this.tokenTimes);
    return this.tokenTime === undefined ? undefined : this.tokenTime * tokens;
  }
}

function push(values: Milliseconds[], value: Milliseconds): void {
  values.push(value);
  if (values.length > MEMORY) values.shift();
}

function median(values: readonly Milliseconds[]): Milliseconds | undefined {
  if (values.length < MINIMUM_HISTORY) return undefined;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)];
}
