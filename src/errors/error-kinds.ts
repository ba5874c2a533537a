/** The closed list of error kinds and their HTTP answers; each error sent to a caller has one kind. */
import type { Milliseconds } from '../core/units.js';

/** Whether the work of a request ran: `no` is guaranteed, `unknown` is an uncertain outcome. */
export type ExecutionState = 'no' | 'yes' | 'unknown';

/** The HTTP answer to one kind of error. */
export interface ErrorAnswer {
  readonly status: number;
  readonly ran: ExecutionState;
  /** Retry delay for the caller; `null` where a retry of the same request cannot succeed. */
  readonly retryAfter: Milliseconds | null;
  /** One human-readable sentence. */
  readonly title: string;
}

function answer(
  status: number,
  ran: ExecutionState,
  retryAfter: Milliseconds | null,
  title: string,
): ErrorAnswer {
  return { status, ran, retryAfter, title };
}

export const ERROR_ANSWERS = {
  malformed_request: answer(400, 'no', null, 'The request could not be read.'),
  unknown_field: answer(400, 'no', null, 'The request has a field that is not known.'),
  unauthenticated: answer(401, 'no', null, 'The token is missing or not known.'),
  forbidden: answer(403, 'no', null, 'The account may not do this.'),
  zone_not_allowed: answer(403, 'no', null, 'No intent allows this work in this zone.'),
  not_found: answer(404, 'no', null, 'There is no such thing, or it is not yours.'),
  method_not_allowed: answer(405, 'no', null, 'The path does not take this method.'),
  sender_too_slow: answer(408, 'no', 1_000, 'The body did not arrive in time.'),
  key_conflict: answer(409, 'no', null, 'The idempotency key was used with another body.'),
  plan_stale: answer(409, 'no', null, 'The configuration changed after the plan was made.'),
  plan_used: answer(409, 'no', null, 'The plan was confirmed before.'),
  cursor_conflict: answer(409, 'no', null, 'An acknowledged cursor never goes back.'),
  body_too_large: answer(413, 'no', null, 'The body is larger than the limit.'),
  headers_too_large: answer(431, 'no', null, 'The headers are larger than the limit.'),
  invalid_intent: answer(422, 'no', null, 'The intent is not valid.'),
  rate_limited: answer(429, 'no', 1_000, 'The account has used up its share.'),
  request_quarantined: answer(503, 'no', 600_000, 'Workers ended while they ran this request.'),
  overloaded: answer(503, 'no', 1_000, 'All workers that may run this are full.'),
  no_worker: answer(503, 'no', 2_000, 'No worker that may run this is in service.'),
  region_unavailable: answer(503, 'no', 2_000, 'No place that may serve this answers now.'),
  cut_off: answer(503, 'no', 5_000, 'This zone cannot show that its configuration is fresh.'),
  version_unknown: answer(503, 'no', 2_000, 'No worker serves weights within the bound.'),
  ledger_unavailable: answer(503, 'no', 2_000, 'No majority of the replicas answers.'),
  ledger_full: answer(503, 'no', 10_000, 'The replicas have no room for more results.'),
  node_overloaded: answer(503, 'no', 1_000, 'This node holds as much for clients as it may.'),
  stopping: answer(503, 'no', 1_000, 'The node is stopping; ask another.'),
  configuration_unavailable: answer(503, 'no', 5_000, 'The key-value service does not answer.'),
  confirm_unknown: answer(504, 'unknown', 5_000, 'The confirmation may have taken effect.'),
  deadline_exceeded: answer(504, 'unknown', 1_000, 'The deadline passed before the answer.'),
  outcome_unknown: answer(504, 'unknown', null, 'The work may have run; its outcome is lost.'),
  step_closed: answer(410, 'yes', null, 'The step was closed; its later samples are dropped.'),
  answer_dropped: answer(502, 'yes', 1_000, 'This node has no room for the answer.'),
  engine_failed: answer(502, 'unknown', 1_000, 'The engine failed while it ran the work.'),
  internal: answer(500, 'unknown', 1_000, 'A fault of wardwing itself.'),
} as const satisfies Record<string, ErrorAnswer>;

export type ErrorKind = keyof typeof ERROR_ANSWERS;

export const ERROR_KINDS = Object.keys(ERROR_ANSWERS) as readonly ErrorKind[];

/** A failure to be sent to a caller. */
export interface Failure {
  readonly kind: ErrorKind;
  /** The specific cause, without data of callers. */
  readonly detail: string;
  /** Overrides the retry delay of the kind. */
  readonly retryAfter?: Milliseconds;
  /** Overrides the execution state of the kind. */
  readonly ran?: ExecutionState;
}

export function failure(
  kind: ErrorKind,
  detail: string,
  overrides: { readonly retryAfter?: Milliseconds; readonly ran?: ExecutionState } = {},
): Failure {
  return { kind, detail, ...overrides };
}

/** Whether the work of the failed request ran, as reported to the caller. */
export function executionStateOf(value: Failure): ExecutionState {
  return value.ran ?? ERROR_ANSWERS[value.kind].ran;
}

/** Retry delay reported to the caller; `null` where a retry cannot succeed. */
export function retryAfterOf(value: Failure): Milliseconds | null {
  return value.retryAfter ?? ERROR_ANSWERS[value.kind].retryAfter;
}

/** Whether the failure promises that the work did not run and that a retry cannot succeed. */
export function isFinalRejection(value: Failure): boolean {
  return executionStateOf(value) === 'no' && retryAfterOf(value) === null;
}

/**
 * Replaces `no` by `unknown` for a call whose key an earlier call used: this call did not run the
 * work, but the earlier one may have.
 */
export function withUnknownExecution(value: Failure): Failure {
  return executionStateOf(value) === 'no' ? { ...value, ran: 'unknown' } : value;
}
