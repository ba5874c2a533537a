/**
 * The samples of a step that wait to be generated, predicted longest first: a long sample that is
 * begun late holds the whole step. Lengths are predicted from the finished samples of the same
 * prompt group, of this step and of earlier ones driven by this node.
 */
import { placementHash } from '../core/hashing.js';
import type { ModelName } from '../core/identity.js';
import type { Milliseconds, TokenCount } from '../core/units.js';
import type { SampleRequest } from '../node/calls.js';
import type { LengthPredictor, PredictedRequest } from '../routing/length-predictor.js';

/** Time between two orderings of the queue by what was learned meanwhile. */
const ORDER_INTERVAL: Milliseconds = 500;

interface WaitingSample extends PredictedRequest {
  readonly sample: SampleRequest;
}

/** Name of the group of samples that share a prompt; tells nothing of the prompt's text. */
export function promptGroupOf(prompt: string): string {
  return placementHash(prompt).toString(16);
}

/** Waiting samples of one step. */
export class SampleQueue {
  /** Longest last, so that the next one is taken off the end. */
  private waiting: WaitingSample[];
  private readonly keys: Set<string>;
  private learned = true;
  private orderedAt = Number.NEGATIVE_INFINITY;

  constructor(
    samples: readonly SampleRequest[],
    private readonly model: ModelName,
    private readonly predictor: LengthPredictor,
  ) {
    this.waiting = samples.map((sample) => this.waitingSample(sample));
    this.keys = new Set(samples.map((sample) => sample.key));
  }

  /** How many wait. */
  get size(): number {
    return this.keys.size;
  }

  /** Takes out the sample that is expected to take longest. */
  next(now: Milliseconds): SampleRequest | undefined {
    this.order(now);
    for (;;) {
      const last = this.waiting.pop();
      if (last === undefined) return undefined;
      if (this.keys.delete(last.sample.key)) return last.sample;
    }
  }

  /** A sample must be generated again; it comes first. */
  putBack(sample: SampleRequest): void {
    if (this.keys.has(sample.key)) return;
    this.keys.add(sample.key);
    this.waiting.push(this.waitingSample(sample));
  }

  /** A sample need not be generated any more. */
  remove(key: string): void {
    this.keys.delete(key);
  }

  /** Learns from a finished sample. */
  observe(sample: SampleRequest, tokens: TokenCount): void {
    this.predictor.record(this.waitingSample(sample), tokens);
    this.learned = true;
  }

  /** Tokens a sample is expected to take. */
  predict(sample: SampleRequest): TokenCount {
    return this.predictor.predict(this.waitingSample(sample));
  }

  private waitingSample(sample: SampleRequest): WaitingSample {
    const { maxTokens } = sample;
    return { sample, model: this.model, promptGroup: promptGroupOf(sample.prompt), maxTokens };
  }

  private order(now: Milliseconds): void {
    if (!this.learned || now - this.orderedAt < ORDER_INTERVAL) return;
    this.orderedAt = now;
    this.learned = false;
    this.waiting = [...this.predictor.longestFirst(this.waiting)].reverse();
  }
}
