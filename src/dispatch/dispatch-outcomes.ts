/** The outcomes of dispatches at their home. */
import type { PartialGeneration } from '../core/generation.js';
import { executionStateOf, type Failure, failure } from '../errors/error-kinds.js';
import type { EngineEvent } from '../platform/worker.js';
import type { HomeDispatch } from './dispatch-memory.js';
import type { DispatchOutcome } from './messages.js';

/** How a dispatch ended, by the last event of its engine and what it had reported before. */
export function outcomeOf(
  event: Exclude<EngineEvent, { kind: 'segment' }>,
  partial: PartialGeneration | null,
): DispatchOutcome {
  if (event.kind === 'finished') return { kind: 'finished', result: event.result };
  const reason = failure('engine_failed', event.reason, { ran: event.ran });
  if (executionStateOf(reason) === 'no') return { kind: 'refused', failure: reason };
  return { kind: 'failed', failure: reason, partial };
}

/** How a dispatch ends that was withdrawn: one that only waited has surely not run. */
export function withdrawnOutcome(
  state: HomeDispatch['state'],
  reason: Failure,
  partial: PartialGeneration | null,
): DispatchOutcome {
  if (state === 'queued') return { kind: 'refused', failure: reason };
  return { kind: 'failed', failure: { ...reason, ran: 'unknown' }, partial };
}
