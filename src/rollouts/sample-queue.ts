/**
 * The samples of a step that wait to be generated, predicted longest first: a long sample that is
 * begun late holds the whole step. A prompt's length is predicted from the finished samples of the
 * same prompt group; groups without history come in the order of submission.
 */
import { placementHash } from '../core/hashing.js';
import type { Milliseconds, TokenCount } from '../core/units.js';
import type { SampleRequest } from '../node/calls.js';

/** How many durations are kept to tell a slow sample from an ordinary one. */
const DURATION_MEMORY = 256;
/** A sample that runs this many times longer than the 90th percentile is slow. */
const SLOW_FACTOR = 1.5;
/** Durations needed before any sample is called slow. */
const MINIMUM_HISTORY = 8;
const SLOW_QUANTILE = 0.9;

/** Name of the group of samples that share a prompt; tells nothing of the prompt's text. */
export function promptGroupOf(prompt: string): string {
  return placementHash(prompt).toString(16);
}

/** Waiting samples of one step. */
export class SampleQueue {
  private readonly waiting = new Map<string, SampleRequest>();
  private readonly durations: Milliseconds[] = [];

  constructor(samples: readonly SampleRequest[]) {
    const ordered = [...samples].sort((left, right) => right.maxTokens - left.maxTokens);
    for (const sample of ordered) this.waiting.set(sample.key, sample);
  }

  /** How many wait. */
  get size(): number {
    return this.waiting.size;
  }

  /** Takes out the next sample. */
  next(): SampleRequest | undefined {
    const first = this.waiting.values().next().value;
    if (first !== undefined) this.waiting.delete(first.key);
    return first;
  }

  /** A sample must be generated again. */
  putBack(sample: SampleRequest): void {
    this.waiting.set(sample.key, sample);
  }

  /** A sample need not be generated any more. */
  remove(key: string): void {
    this.waiting.delete(key);
  }

  /** Notes how long a finished sample took. */
  observe(_tokens: TokenCount, duration: Milliseconds): void {
    this.durations.push(duration);
    if (this.durations.length > DURATION_MEMORY) this.durations.shift();
  }

  /** Time after which a running sample counts as slow; `null` without enough history. */
  hedgeThreshold(): Milliseconds | null {
    if (this.durations.length < MINIMUM_HISTORY) return null;
    const sorted = [...this.durations].sort((left, right) => left - right);
    const index = Math.floor(sorted.length * SLOW_QUANTILE);
    return (sorted[index] ?? 0) * SLOW_FACTOR;
  }
}
