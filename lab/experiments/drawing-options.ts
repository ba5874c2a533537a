/** Settings and counters of drawing steps. */
import type { EventQueue } from '../simulation/event-queue.js';
import type { CandidateTable } from './candidate-table.js';
import type { DrawnStep } from './drawn-step.js';
import type { Variant } from './variants.js';

/** What a run counts. */
export interface DrawingCounters {
  attemptsWasted: number;
  tokensWasted: number;
  tokensUsed: number;
}

/** Settings of drawing. */
export interface StepDrawingOptions {
  readonly variant: Variant;
  readonly table: CandidateTable;
  readonly queue: EventQueue;
  /** One-way time to a worker. */
  readonly latency: number;
  readonly fraction: () => number;
  readonly onComplete: (step: DrawnStep) => void;
}
