/**
 * Checks of what callers send: JSON bodies, query parameters and headers against schemas, with a
 * failure that names the field.
 */
import { Result } from 'true-myth';
import * as z from 'zod';
import { type Failure, failure } from '../errors/error-kinds.js';

/** How much of a field's name an error repeats. */
const MAX_FIELD_NAME = 64;

const decoder = new TextDecoder('utf-8', { fatal: true });

/** Reads a body as JSON. */
export function parseJson(body: Buffer): Result<unknown, Failure> {
  try {
    return Result.ok(JSON.parse(decoder.decode(body)));
  } catch {
    return Result.err(failure('malformed_request', 'body: not JSON in UTF-8'));
  }
}

/** Checks a value against a strict schema. */
export function check<Output>(schema: z.ZodType<Output>, value: unknown): Result<Output, Failure> {
  const outcome = schema.safeParse(value);
  if (outcome.success) return Result.ok(outcome.data);
  const [issue] = outcome.error.issues;
  return Result.err(issue === undefined ? malformed('body', 'not valid') : failureOf(issue));
}

/** Checks query parameters; each may be given once. */
export function checkQuery<Output>(
  schema: z.ZodType<Output>,
  query: URLSearchParams,
): Result<Output, Failure> {
  const names = [...query.keys()];
  const repeated = names.find((name, position) => names.indexOf(name) !== position);
  if (repeated !== undefined) return Result.err(malformed(repeated, 'given more than once'));
  return check(schema, Object.fromEntries(query));
}

/** A whole number in a query parameter or header. */
export function wholeNumberText(minimum: number, maximum: number) {
  return z
    .string()
    .regex(/^\d{1,15}$/, 'must be a whole number')
    .transform(Number)
    .pipe(z.number().min(minimum).max(maximum));
}

/** A `malformed_request` that names a field. */
export function malformed(field: string, reason: string): Failure {
  return failure('malformed_request', `${shorten(field)}: ${reason}`);
}

function failureOf(issue: z.core.$ZodIssue): Failure {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    const field = [...path, issue.keys[0] ?? ''].join('.');
    return failure('unknown_field', `${shorten(field)}: not a known field`);
  }
  return malformed(path.length === 0 ? 'body' : path.join('.'), issue.message);
}

function shorten(field: string): string {
  return field.length <= MAX_FIELD_NAME ? field : `${field.slice(0, MAX_FIELD_NAME)}…`;
}
