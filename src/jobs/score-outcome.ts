/** Outcomes of calls for scores. */
import { readAnswerBody } from '../serving/attempt.js';
import type { EngineAnswer, EngineOutcome } from '../serving/engine-port.js';

/** Outcome of a score call. */
export type ScoreOutcome =
  | { readonly kind: 'scored'; readonly score: string }
  | { readonly kind: 'attempt-failed' | 'refused' | 'broken' | 'failed' | 'cancelled' };

const SERVER_ERROR = 500;

/** Outcomes of calls that a worker has answered, at least in part. */
const ANSWERED_KINDS: ReadonlySet<ScoreOutcome['kind']> = new Set([
  'scored',
  'attempt-failed',
  'broken',
]);

/** Whether a worker has answered the call, at least in part. */
export function wasAnswered({ kind }: ScoreOutcome): boolean {
  return ANSWERED_KINDS.has(kind);
}

/** Reads what a worker answered. */
export async function readOutcome(outcome: EngineOutcome): Promise<ScoreOutcome> {
  if (outcome.kind === 'not-run') return { kind: 'refused' };
  if (outcome.kind === 'failed' && outcome.cause === 'local') return { kind: 'cancelled' };
  if (outcome.kind === 'failed') return { kind: outcome.cause === 'broken' ? 'broken' : 'failed' };
  const body = await readAnswerBody(outcome);
  if (body === undefined) return { kind: 'broken' };
  if (outcome.status === SERVER_ERROR) return { kind: 'attempt-failed' };
  const score = isSuccess(outcome) ? outcome.signature : undefined;
  return score === undefined ? { kind: 'failed' } : { kind: 'scored', score };
}

function isSuccess({ status }: EngineAnswer): boolean {
  return status >= 200 && status < 300;
}
