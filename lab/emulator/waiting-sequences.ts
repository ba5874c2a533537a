/** Sequences that wait for a slot of an emulated engine; interactive ones come first. */
import type { TrafficClass } from '../../src/core/generation.js';
import type { Sequence } from './sequence.js';

/** One queue for each traffic class. */
export class WaitingSequences {
  private readonly queues: Record<TrafficClass, Sequence[]> = { interactive: [], training: [] };

  get size(): number {
    return this.queues.interactive.length + this.queues.training.length;
  }

  /** How many of one class wait. */
  sizeOf(trafficClass: TrafficClass): number {
    return this.queues[trafficClass].length;
  }

  /** All, most urgent first. */
  all(): readonly Sequence[] {
    return [...this.queues.interactive, ...this.queues.training];
  }

  find(dispatchId: string): Sequence | undefined {
    return this.size === 0
      ? undefined
      : this.all().find((sequence) => sequence.dispatchId === dispatchId);
  }

  /** Takes the sequence that is to run next. */
  takeNext(): Sequence | undefined {
    return this.queues.interactive.shift() ?? this.queues.training.shift();
  }

  add(sequence: Sequence): void {
    this.queues[sequence.request.trafficClass].push(sequence);
  }

  /** Puts a sequence before all others of its class. */
  addFirst(sequence: Sequence): void {
    this.queues[sequence.request.trafficClass].unshift(sequence);
  }

  remove(dispatchId: string): void {
    for (const kind of ['interactive', 'training'] as const) {
      this.queues[kind] = this.queues[kind].filter((held) => held.dispatchId !== dispatchId);
    }
  }
}
