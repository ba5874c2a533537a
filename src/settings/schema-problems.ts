/**
 * Validates settings and intents, and converts the issues of the schema library to problems with the
 * key, the reason and the accepted values.
 */
import { Result } from 'true-myth';
import * as z from 'zod';
import { ACCEPTED_DURATIONS, parseDuration } from './duration.js';

/** One validation error of a document. */
export interface SchemaProblem {
  /** Path of the key, e.g. `fleet.zones[0].name`; `(document)` for the document itself. */
  readonly key: string;
  readonly reason: string;
  /** Human-readable description of accepted values. */
  readonly accepted: string;
}

/** Formats a problem as one line of text. */
export function formatProblem(problem: SchemaProblem): string {
  return `${problem.key}: ${problem.reason}; accepted: ${problem.accepted}`;
}

/** Format of the names of nodes, zones, accounts, models and intents. */
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** The format of {@link nameField}, for error messages. */
const ACCEPTED_NAMES = 'letters, digits, ".", "_" and "-", at most 63 characters';

/** Schema of a name; error messages show the example. */
export function nameField(example?: string): z.ZodString {
  const suffix = example === undefined ? '' : `, e.g. "${example}"`;
  return z
    .string()
    .regex(NAME_PATTERN, 'this is not a name')
    .describe(ACCEPTED_NAMES + suffix);
}

/** Schema of a duration, converted to milliseconds. */
export function durationField(): z.ZodType<number, string> {
  return z
    .string()
    .transform((text, context) => {
      const duration = parseDuration(text).unwrapOr(Number.NaN);
      if (Number.isNaN(duration)) context.addIssue(`"${text}" is not a duration`);
      return duration;
    })
    .describe(ACCEPTED_DURATIONS);
}

/** Validates a document; reports all problems at once. */
export function checkDocument<Schema extends z.ZodType>(
  schema: Schema,
  document: unknown,
): Result<z.output<Schema>, readonly SchemaProblem[]> {
  const checked = schema.safeParse(document);
  if (checked.success) return Result.ok(checked.data);
  return Result.err(checked.error.issues.flatMap((issue) => problemsOf(schema, document, issue)));
}

function problemsOf(
  schema: z.ZodType,
  document: unknown,
  issue: z.core.$ZodIssue,
): SchemaProblem[] {
  if (issue.code === 'unrecognized_keys') {
    const accepted = `the keys ${acceptedKeysAt(schema, issue.path).join(', ')}`;
    return issue.keys.map((key) => ({
      key: pathText([...issue.path, key]),
      reason: 'this key is not known',
      accepted,
    }));
  }
  const missing = valueAt(document, issue.path) === undefined;
  return [
    {
      key: pathText(issue.path),
      reason: missing ? 'this key is missing' : lowerFirst(issue.message),
      accepted: acceptedAt(schema, issue),
    },
  ];
}

function acceptedAt(schema: z.ZodType, issue: z.core.$ZodIssue): string {
  if (issue.code === 'invalid_value') return issue.values.map(String).join(', ');
  const description = descriptionOf(schemasAlong(schema, issue.path).at(-1));
  if (description !== undefined) return description;
  if (issue.code === 'invalid_type') return `a value of type ${issue.expected}`;
  return 'see the reason';
}

function acceptedKeysAt(schema: z.ZodType, path: readonly PropertyKey[]): string[] {
  const objectSchema = unwrap(schemasAlong(schema, path).at(-1));
  return objectSchema instanceof z.ZodObject ? Object.keys(objectSchema.shape) : [];
}

/** The schemas along a path, outermost first, as far as the schema covers the path. */
function schemasAlong(schema: z.ZodType, path: readonly PropertyKey[]): z.ZodType[] {
  const visited = [schema];
  for (const segment of path) {
    const parent = unwrap(visited.at(-1));
    const next =
      parent instanceof z.ZodObject
        ? (parent.shape[String(segment)] as z.ZodType | undefined)
        : parent instanceof z.ZodArray
          ? (parent.element as z.ZodType)
          : undefined;
    if (next === undefined) break;
    visited.push(next);
  }
  return visited;
}

/** The description of a schema, or of the nearest wrapped schema with one. */
function descriptionOf(schema: z.ZodType | undefined): string | undefined {
  if (schema === undefined) return undefined;
  return schema.description ?? descriptionOf(innerOf(schema));
}

/** The innermost wrapped schema. */
function unwrap(schema: z.ZodType | undefined): z.ZodType | undefined {
  const inner = schema === undefined ? undefined : innerOf(schema);
  return inner === undefined ? schema : unwrap(inner);
}

/** The schema that an optional, nullable, default or pipe schema wraps. */
function innerOf(schema: z.ZodType): z.ZodType | undefined {
  if (schema instanceof z.ZodPipe) return schema.in as z.ZodType;
  const wraps =
    schema instanceof z.ZodOptional ||
    schema instanceof z.ZodNullable ||
    schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault;
  return wraps ? (schema.unwrap() as z.ZodType) : undefined;
}

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, segment) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[segment]
        : undefined,
    document,
  );
}

function pathText(path: readonly PropertyKey[]): string {
  if (path.length === 0) return '(document)';
  return path
    .map((segment, index) => {
      if (typeof segment === 'number') return `[${segment}]`;
      return index === 0 ? String(segment) : `.${String(segment)}`;
    })
    .join('');
}

function lowerFirst(text: string): string {
  return text.charAt(0).toLowerCase() + text.slice(1);
}
