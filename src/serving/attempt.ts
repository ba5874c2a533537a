/** One attempt at a worker: what came of it, and what that says of the worker. */
import type { Milliseconds } from '../core/units.js';
import type { EngineAnswer, EngineOutcome } from './engine-port.js';
import { readWhole } from './read-chunks.js';
import type { KnownWorker } from './worker-registry.js';

/** The lowest status by which a worker tells a failure of its own. */
export const SERVER_ERROR_STATUS = 500;

/** One attempt that has come to an outcome. */
export interface AttemptResult {
  readonly worker: KnownWorker;
  readonly outcome: EngineOutcome;
  /** The body, where the answer came whole. */
  readonly body: Buffer | undefined;
}

/** A whole answer that is not a failure of the worker. */
export function isUsable(attempt: AttemptResult): boolean {
  if (attempt.outcome.kind !== 'answered' || attempt.body === undefined) return false;
  return attempt.outcome.status < SERVER_ERROR_STATUS;
}

/** Takes note of an attempt without an answer; one that was not sent says nothing of the worker. */
export function noteFailure(worker: KnownWorker, outcome: EngineOutcome, now: Milliseconds): void {
  if (outcome.kind === 'not-run' && outcome.reason === 'withheld') return;
  const isFull = outcome.kind === 'not-run' && outcome.reason === 'full';
  worker.noteOutcome(isFull ? 'full' : 'failure', now);
}

/** Reads a body to its end; `undefined` where it broke off. */
export async function readAnswerBody(answer: EngineAnswer): Promise<Buffer | undefined> {
  const body = await readWhole(answer.body);
  if (body === undefined) answer.discard();
  return body;
}
