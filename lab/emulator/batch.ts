/**
 * The running batch of an emulated engine and its clock. All sequences of a batch gain one token
 * a step, so steps are counted once for the whole batch and skipped over up to the next step at
 * which some sequence has to be streamed.
 */
import type { Milliseconds, TokenCount } from '../../src/core/units.js';
import type { Sequence } from './sequence.js';

/** What the batch needs to know. */
export interface BatchSettings {
  readonly slots: number;
  readonly baseStepTime: Milliseconds;
  readonly stepTimePerSequence: Milliseconds;
  readonly chunkTokens: TokenCount;
}

/** Sequences that are decoded together. */
export class Batch {
  private readonly sequences = new Map<string, Sequence>();
  private step = 0;
  /** When step number `step` ended. */
  private stepEnd: Milliseconds = 0;
  /** Next step at which some sequence is streamed; `Infinity` for an empty batch. */
  private boundary = Number.POSITIVE_INFINITY;

  constructor(private readonly settings: BatchSettings) {}

  get size(): number {
    return this.sequences.size;
  }

  get hasRoom(): boolean {
    return this.sequences.size < this.settings.slots;
  }

  /** When some sequence has to be streamed next. */
  nextStreamAt(): Milliseconds | undefined {
    if (this.sequences.size === 0) return undefined;
    return this.stepEnd + (this.boundary - this.step) * this.stepTime();
  }

  /** Counts the steps that have ended by `now`, which is at most the next stream time. */
  settle(now: Milliseconds): void {
    if (this.sequences.size === 0) return;
    const stepTime = this.stepTime();
    // A fraction of a step absorbs rounding of the stream time.
    const ended = Math.floor((now - this.stepEnd) / stepTime + 1e-6);
    if (ended <= 0) return;
    const steps = Math.min(ended, this.boundary - this.step);
    this.step += steps;
    this.stepEnd += steps * stepTime;
    for (const sequence of this.sequences.values()) {
      sequence.tokens += this.step - sequence.joinedStep;
      sequence.joinedStep = this.step;
    }
  }

  /** Adds a sequence; reading its prompt stalls the whole batch. */
  add(sequence: Sequence, prefillTime: Milliseconds, now: Milliseconds): void {
    if (this.sequences.size === 0) this.stepEnd = now;
    this.stepEnd += prefillTime;
    sequence.joinedStep = this.step;
    this.sequences.set(sequence.dispatchId, sequence);
    this.refreshBoundary();
  }

  get(dispatchId: string): Sequence | undefined {
    return this.sequences.get(dispatchId);
  }

  remove(dispatchId: string): Sequence | undefined {
    const sequence = this.sequences.get(dispatchId);
    this.sequences.delete(dispatchId);
    this.refreshBoundary();
    return sequence;
  }

  /** All sequences, first joined first. */
  all(): Sequence[] {
    return [...this.sequences.values()];
  }

  /** Sequences that have a whole chunk to stream or are complete. */
  ready(): Sequence[] {
    return this.all().filter((sequence) => sequence.tokens >= this.streamMark(sequence));
  }

  /** To be called after sequences were streamed. */
  refreshBoundary(): void {
    let boundary = Number.POSITIVE_INFINITY;
    for (const sequence of this.sequences.values()) {
      const missing = Math.max(0, this.streamMark(sequence) - sequence.tokens);
      boundary = Math.min(boundary, sequence.joinedStep + missing);
    }
    this.boundary = boundary;
  }

  private streamMark(sequence: Sequence): TokenCount {
    return Math.min(sequence.target, sequence.streamed + this.settings.chunkTokens);
  }

  private stepTime(): Milliseconds {
    const { baseStepTime, stepTimePerSequence } = this.settings;
    return baseStepTime + stepTimePerSequence * this.sequences.size;
  }
}
