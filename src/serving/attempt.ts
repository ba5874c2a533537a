/** Outcomes of attempts at workers. */
import { MEBIBYTE, type Milliseconds } from '../core/units.js';
import type { MemoryHolding } from '../limits/memory-budget.js';
import type { EngineAnswer, EngineOutcome } from './engine-port.js';
import { readAll } from './read-chunks.js';
import type { KnownWorker } from './worker-registry.js';

/** The lowest HTTP status of a worker's own failure. */
export const SERVER_ERROR_STATUS = 500;

/**
 * Longest body of a worker's answer, which is held as a whole until it is complete. A worker may send
 * bytes without end.
 */
const MAX_ANSWER_BYTES = 8 * MEBIBYTE;

/** A finished attempt. */
export interface AttemptResult {
  readonly worker: KnownWorker;
  readonly outcome: EngineOutcome;
  /** The body; `undefined` where the answer was incomplete. */
  readonly body: Buffer | undefined;
}

/** Whether an attempt has a complete answer that is not a failure of the worker. */
export function isUsable(attempt: AttemptResult): boolean {
  if (attempt.outcome.kind !== 'answered' || attempt.body === undefined) return false;
  return attempt.outcome.status < SERVER_ERROR_STATUS;
}

/**
 * Records an attempt without an answer; an attempt that was withheld, or that failed on this machine,
 * does not count against the worker.
 */
export function noteFailure(worker: KnownWorker, outcome: EngineOutcome, now: Milliseconds): void {
  if (outcome.kind === 'not-run' && outcome.reason === 'withheld') return;
  if (outcome.kind === 'failed' && outcome.cause === 'local') return;
  const isFull = outcome.kind === 'not-run' && outcome.reason === 'full';
  worker.noteOutcome(isFull ? 'full' : 'failure', now);
}

/**
 * Reads a whole body; `undefined` where the connection broke, the body is too long or `holding` has no
 * room for it.
 */
export async function readAnswerBody(
  answer: EngineAnswer,
  holding?: MemoryHolding,
): Promise<Buffer | undefined> {
  const body = await readAll(answer.body, MAX_ANSWER_BYTES, {
    holding,
    expectedLength: answer.bodyLength,
  });
  if (body === undefined) answer.discard();
  return body;
}
