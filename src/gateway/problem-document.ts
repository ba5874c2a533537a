/**
 * Failures as problem documents (RFC 9457) with wardwing's own members `kind`, `ran` and
 * `retry_after_ms`.
 */
import { type Milliseconds, SECOND } from '../core/units.js';
import type { ExecutionState } from '../errors/error-kinds.js';
import {
  ERROR_ANSWERS,
  type ErrorKind,
  executionStateOf,
  type Failure,
  retryAfterOf,
} from '../errors/error-kinds.js';

/** Media type of a problem document. */
const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** Prefix of the `type` member; the kind follows. */
const TYPE_PREFIX = 'urn:wardwing:error:';

/** A failure as callers read it. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly kind: ErrorKind;
  readonly ran: ExecutionState;
  /** `null` where repeating the same request cannot help. */
  readonly retry_after_ms: Milliseconds | null;
}

/** The document of a failure. */
export function problemDocument(value: Failure): ProblemDocument {
  const { status, title } = ERROR_ANSWERS[value.kind];
  return {
    type: TYPE_PREFIX + value.kind,
    title,
    status,
    detail: value.detail,
    kind: value.kind,
    ran: executionStateOf(value),
    retry_after_ms: retryAfterOf(value),
  };
}

/** Headers that go with a failure: `Retry-After` in whole seconds, rounded up, at least 1. */
export function problemHeaders(value: Failure): Readonly<Record<string, string>> {
  const headers: Record<string, string> = { 'content-type': PROBLEM_MEDIA_TYPE };
  const retryAfter = retryAfterOf(value);
  if (retryAfter !== null) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfter / SECOND)));
  }
  if (value.kind === 'unauthenticated') headers['www-authenticate'] = 'Bearer';
  return headers;
}
