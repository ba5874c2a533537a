/**
 * The samples of one step that are being generated, and the beginnings of those whose generation
 * ended early and that wait to go on elsewhere.
 */
import type { PartialGeneration } from '../core/generation.js';
import type { Milliseconds } from '../core/units.js';
import type { RunningGeneration } from '../dispatch/generation-runner.js';
import { longerPartial } from '../dispatch/partial-answer.js';
import type { SampleRequest } from '../node/calls.js';

/** A sample under way. */
export interface RunningSample {
  readonly sample: SampleRequest;
  readonly startedAt: Milliseconds;
  readonly generations: RunningGeneration[];
  /** Copies that have not ended. */
  liveCopies: number;
}

/** Samples of one step under way, by key. */
export class RunningSamples {
  private readonly entries = new Map<string, RunningSample>();
  private readonly partials = new Map<string, PartialGeneration>();

  /** How many are under way. */
  get size(): number {
    return this.entries.size;
  }

  /** All that are under way. */
  all(): readonly RunningSample[] {
    return [...this.entries.values()];
  }

  get(key: string): RunningSample | undefined {
    return this.entries.get(key);
  }

  /** A sample is under way from now on. */
  start(sample: SampleRequest, now: Milliseconds): RunningSample {
    const entry: RunningSample = { sample, startedAt: now, generations: [], liveCopies: 0 };
    this.entries.set(sample.key, entry);
    return entry;
  }

  /** A sample is not under way any more, but has yet to be delivered. */
  stop(key: string): void {
    this.entries.delete(key);
  }

  /** A sample is delivered, or must not be resumed: what runs of it is cancelled. */
  forget(key: string): void {
    const entry = this.entries.get(key);
    this.entries.delete(key);
    this.partials.delete(key);
    for (const generation of entry?.generations ?? []) generation.cancel();
  }

  /** Forgets all samples; what runs is cancelled. */
  forgetAll(): void {
    for (const key of [...this.entries.keys()]) this.forget(key);
    this.partials.clear();
  }

  /** Keeps the longest beginning of a sample. */
  keepPartial(key: string, partial: PartialGeneration | null): void {
    const longest = longerPartial(this.partials.get(key) ?? null, partial);
    if (longest !== null) this.partials.set(key, longest);
  }

  /** Hands out the beginning of a sample, to be resumed; `null` where there is none. */
  takePartial(key: string): PartialGeneration | null {
    const partial = this.partials.get(key) ?? null;
    this.partials.delete(key);
    return partial;
  }
}
