/**
 * Runs procedures: turns their steps into effects, hands them the outcomes, and ends them at their
 * deadline with an answer that is true of what was sent.
 */
import type { ChangeDetails } from '../core/state-change.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { CallReply } from '../node/calls.js';
import type { KeyValueOperation, KeyValueResult } from '../platform/key-value.js';
import {
  type Procedure,
  ProcedureFailure,
  type ProcedureOutcome,
  type ProcedureStep,
  refused,
} from './procedure.js';

/** What a running procedure wants done. */
export type ProcedureEffect =
  | { readonly kind: 'reply'; readonly callId: string; readonly reply: CallReply }
  | {
      readonly kind: 'key-value';
      readonly requestId: string;
      readonly operation: KeyValueOperation;
    }
  | {
      readonly kind: 'state-change';
      readonly change: string;
      readonly details: ChangeDetails;
    };

/** Prefix of the identifiers of this module's key-value requests. */
const INTENT_REQUEST_PREFIX = 'intents/';

/** A call whose procedure is under way. */
interface RunningCall {
  readonly callId: string;
  readonly procedure: Procedure;
  readonly deadline: Milliseconds;
  /** Whether its transactions change nothing that is in force. */
  readonly harmless: boolean;
  /** Request whose answer is awaited; `null` while pausing. */
  requestId: string | null;
  /** When a pause ends; `null` while a request is awaited. */
  resumeAt: Milliseconds | null;
  /** Whether a transaction was sent of which it is not known whether it applied. */
  unsettled: boolean;
  /** Value of {@link unsettled} before the transaction that is awaited. */
  unsettledBefore: boolean;
}

/** Answer handed to a procedure when it starts or a pause ends; its content is not looked at. */
const NO_ANSWER: KeyValueResult = { kind: 'range', revision: 0, entries: [] };

/** See the module's comment. */
export class ProcedureRunner {
  readonly #callTimeout: Milliseconds;
  readonly #running = new Map<string, RunningCall>();
  readonly #callOfRequest = new Map<string, string>();
  #requestCount = 0;

  /** @param callTimeout time from start to reply at the latest, in milliseconds */
  constructor(callTimeout: Milliseconds) {
    this.#callTimeout = callTimeout;
  }

  /** Number of procedures under way. */
  get size(): number {
    return this.#running.size;
  }

  /** Starts a procedure; `harmless` where its transactions change nothing that is in force. */
  start(
    callId: string,
    procedure: Procedure,
    harmless: boolean,
    now: Milliseconds,
  ): readonly ProcedureEffect[] {
    const running: RunningCall = {
      callId,
      procedure,
      deadline: now + this.#callTimeout,
      harmless,
      requestId: null,
      resumeAt: null,
      unsettled: false,
      unsettledBefore: false,
    };
    this.#running.set(callId, running);
    return this.#advance(running, NO_ANSWER, now);
  }

  /** Takes in the answer to a request; answers to requests no longer awaited are ignored. */
  keyValueResult(
    requestId: string,
    result: KeyValueResult,
    now: Milliseconds,
  ): readonly ProcedureEffect[] {
    const callId = this.#callOfRequest.get(requestId);
    const running = callId === undefined ? undefined : this.#running.get(callId);
    this.#callOfRequest.delete(requestId);
    if (running === undefined) return [];
    running.requestId = null;
    // A conflict does not settle an earlier lost attempt: that one may be what it conflicts with.
    const mayHaveApplied = result.kind === 'failed' && result.mayHaveApplied;
    if (!mayHaveApplied) running.unsettled = running.unsettledBefore;
    return this.#advance(running, result, now);
  }

  /** Ends pauses that are over and procedures whose deadline has passed. */
  tick(now: Milliseconds): readonly ProcedureEffect[] {
    if (this.#running.size === 0) return [];
    const effects: ProcedureEffect[] = [];
    for (const running of [...this.#running.values()]) {
      if (now >= running.deadline) {
        effects.push(...this.#finish(running, refused(expiryFailure(running))));
      } else if (running.resumeAt !== null && now >= running.resumeAt) {
        running.resumeAt = null;
        effects.push(...this.#advance(running, NO_ANSWER, now));
      }
    }
    return effects;
  }

  /** Takes no further step; a transaction already sent may still apply. */
  abandon(callId: string): void {
    const running = this.#running.get(callId);
    if (running !== undefined) this.#forget(running);
  }

  #advance(running: RunningCall, input: KeyValueResult, now: Milliseconds): ProcedureEffect[] {
    try {
      const step = running.procedure.next(input);
      if (step.done === true) return this.#finish(running, step.value);
      return this.#take(running, step.value, now);
    } catch (error) {
      return this.#finish(running, refused(failureOf(error)));
    }
  }

  #take(running: RunningCall, step: ProcedureStep, now: Milliseconds): ProcedureEffect[] {
    if (step.kind === 'wait') {
      running.resumeAt = now + step.duration;
      return [];
    }
    this.#requestCount += 1;
    const requestId = `${INTENT_REQUEST_PREFIX}${this.#requestCount}`;
    running.requestId = requestId;
    running.unsettledBefore = running.unsettled;
    if (step.operation.kind === 'transaction') running.unsettled = true;
    this.#callOfRequest.set(requestId, running.callId);
    return [{ kind: 'key-value', requestId, operation: step.operation }];
  }

  #finish(running: RunningCall, outcome: ProcedureOutcome): ProcedureEffect[] {
    this.#forget(running);
    const reply = { kind: 'reply', callId: running.callId, reply: outcome.reply } as const;
    if (outcome.stateChange === null) return [reply];
    return [{ kind: 'state-change', ...outcome.stateChange }, reply];
  }

  #forget(running: RunningCall): void {
    this.#running.delete(running.callId);
    if (running.requestId !== null) this.#callOfRequest.delete(running.requestId);
  }
}

function expiryFailure(running: RunningCall): Failure {
  if (running.harmless || !running.unsettled) {
    return failure('configuration_unavailable', 'the key-value service did not answer in time');
  }
  const detail = 'the change was sent and no answer came; see the history before repeating it';
  return failure('confirm_unknown', detail);
}

function failureOf(error: unknown): Failure {
  if (error instanceof ProcedureFailure) return error.failure;
  const reason = error instanceof Error ? error.message : String(error);
  return failure('internal', `a record in the key-value service could not be read: ${reason}`);
}
