/**
 * Procedures: the steps of one call against the key-value service, written as generators. A
 * procedure yields a step, is given its outcome, and returns the reply; it does no I/O itself.
 */
import type { ChangeDetails } from '../core/state-change.js';
import type { Milliseconds, Revision } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { CallReply, OperatorDocument } from '../node/calls.js';
import type {
  KeyValueCompare,
  KeyValueEntry,
  KeyValueOperation,
  KeyValueResult,
  KeyValueWrite,
} from '../platform/key-value.js';

/** What a procedure asks for next. */
export type ProcedureStep =
  | { readonly kind: 'operation'; readonly operation: KeyValueOperation }
  | { readonly kind: 'wait'; readonly duration: Milliseconds };

/** One log line of a change of state. */
export interface StateChange {
  readonly change: string;
  readonly details: ChangeDetails;
}

/** How a procedure ends. */
export interface ProcedureOutcome {
  readonly reply: CallReply;
  /** `null` where nothing changed. */
  readonly stateChange: StateChange | null;
}

/** A procedure, or a part of one that returns something else. */
export type Procedure<Outcome = ProcedureOutcome> = Generator<
  ProcedureStep,
  Outcome,
  KeyValueResult
>;

/** Several keys or one, as read at one revision. */
export interface ReadOutcome {
  readonly revision: Revision;
  readonly entries: readonly KeyValueEntry[];
}

/** How a transaction ended, lost answers included. */
export type TransactionOutcome =
  | { readonly kind: 'applied'; readonly revision: Revision }
  /** A compared key had another revision. */
  | { readonly kind: 'conflict' }
  /** The answer was lost; the caller must read back before it goes on. */
  | { readonly kind: 'unknown' };

/** Shortest pause between two attempts at one step. */
const MINIMUM_PAUSE: Milliseconds = 100;

/** Pause after an answer of the wrong kind, which only a faulty service gives. */
const WRONG_ANSWER_PAUSE: Milliseconds = 1_000;

/** Thrown inside a procedure to end it with a failure; caught by the service that runs it. */
export class ProcedureFailure extends Error {
  constructor(readonly failure: Failure) {
    super(failure.detail);
  }
}

/** Reads keys; the first failure of the service ends the procedure. */
export function* read(key: string, prefix = false): Procedure<ReadOutcome> {
  const result = yield { kind: 'operation', operation: { kind: 'range', key, prefix } };
  if (result.kind === 'range') return result;
  throw new ProcedureFailure(unavailable(result));
}

/** Reads keys, repeating until the service answers or the call's deadline passes. */
export function* readPatiently(key: string, prefix = false): Procedure<ReadOutcome> {
  for (;;) {
    const result = yield { kind: 'operation', operation: { kind: 'range', key, prefix } };
    if (result.kind === 'range') return result;
    yield* pauseAfter(result);
  }
}

/**
 * Runs a transaction. A failure that surely did not apply ends the procedure, unless an earlier
 * attempt may still apply; a lost answer is `unknown`, after a pause.
 */
export function* transact(
  compares: readonly KeyValueCompare[],
  writes: readonly KeyValueWrite[],
  earlierUnknown: boolean,
): Procedure<TransactionOutcome> {
  const operation = { kind: 'transaction', compares, writes } as const;
  const result = yield { kind: 'operation', operation };
  if (result.kind === 'transaction') {
    return result.succeeded ? { kind: 'applied', revision: result.revision } : { kind: 'conflict' };
  }
  const surelyNot = result.kind === 'failed' && !result.mayHaveApplied;
  if (surelyNot && !earlierUnknown) throw new ProcedureFailure(unavailable(result));
  yield* pauseAfter(result);
  return { kind: 'unknown' };
}

/** Waits as long as a failed result asks for. */
function* pauseAfter(result: KeyValueResult): Procedure<void> {
  const asked = result.kind === 'failed' ? result.retryAfter : WRONG_ANSWER_PAUSE;
  yield { kind: 'wait', duration: Math.max(MINIMUM_PAUSE, asked) };
}

function unavailable(result: KeyValueResult): Failure {
  if (result.kind !== 'failed') {
    return failure('configuration_unavailable', 'the key-value service gave a wrong answer');
  }
  const detail = `the key-value service is ${result.reason}`;
  return failure('configuration_unavailable', detail, { retryAfter: result.retryAfter });
}

/** An outcome that refuses the call. */
export function refused(value: Failure): ProcedureOutcome {
  return { reply: { kind: 'failed', failure: value }, stateChange: null };
}

/** An outcome that answers with the revision at which a change took effect. */
export function accepted(revision: Revision, stateChange: StateChange | null): ProcedureOutcome {
  return { reply: { kind: 'done', body: { kind: 'accepted', revision } }, stateChange };
}

/** An outcome that answers with a document. */
export function documented(
  document: OperatorDocument,
  stateChange: StateChange | null = null,
): ProcedureOutcome {
  return { reply: { kind: 'done', body: { kind: 'operator', document } }, stateChange };
}
