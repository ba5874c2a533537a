/**
 * Bodies and headers of the OpenAI-compatible routes. Fields of that interface which wardwing
 * cannot honour are refused rather than ignored.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { Result } from 'true-myth';
import * as z from 'zod';
import type { Milliseconds } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { GatewayLimits } from './gateway-options.js';
import { check, malformed, wholeNumberText } from './request-check.js';

/** Tokens generated where the caller names no limit, as in the OpenAI interface. */
const DEFAULT_MAX_TOKENS = 16;
const DEFAULT_CHAT_MAX_TOKENS = 1_024;

/** Marks of the chat template: where a message starts and ends. */
export const CHAT_MARKS = ['<|im_start|>', '<|im_end|>'] as const;

/** Longest answer a caller may ask for. */
export const MAX_TOKENS_LIMIT = 131_072;

/** Largest seed: an unsigned number of 32 bits. */
export const MAX_SEED = 0xffff_ffff;

/** Longest name of a model, step or sample. */
export const MAX_NAME_LENGTH = 256;

const common = {
  model: z.string().min(1).max(MAX_NAME_LENGTH),
  seed: z.int().min(0).max(MAX_SEED).optional(),
  stream: z.boolean().default(false),
  n: z.literal(1).optional(),
};

const tokenLimit = z.int().min(1).max(MAX_TOKENS_LIMIT);

/** Body of `POST /v1/completions`. */
export const completionSchema = z.strictObject({
  ...common,
  prompt: z.string().min(1),
  max_tokens: tokenLimit.default(DEFAULT_MAX_TOKENS),
});

/** The template's marks are refused, as they would let a message take another role. */
const chatContent = z
  .string()
  .refine((content) => !CHAT_MARKS.some((mark) => content.includes(mark)), {
    message: `must not contain ${CHAT_MARKS.join(' or ')}`,
  });

/** Body of `POST /v1/chat/completions`. */
export const chatSchema = z.strictObject({
  ...common,
  messages: z
    .array(z.strictObject({ role: z.enum(['system', 'user', 'assistant']), content: chatContent }))
    .min(1),
  max_tokens: tokenLimit.default(DEFAULT_CHAT_MAX_TOKENS),
});

/** One message of a chat. */
export type ChatMessage = z.infer<typeof chatSchema>['messages'][number];

/** What the headers of a generation say. */
export interface GenerationHeaders {
  readonly idempotencyKey: string | null;
  readonly repeatable: boolean;
  /** Time left from now. */
  readonly timeLeft: Milliseconds;
}

const IDEMPOTENCY_KEY = 'idempotency-key';
const REPEATABLE = 'wardwing-repeatable';

/** Whether the headers say that the work may run at most once. */
export function isMarkedNotRepeatable(headers: IncomingHttpHeaders): boolean {
  return headers[REPEATABLE] === 'false';
}
const DEADLINE = 'wardwing-deadline-ms';

/** Reads the headers of a generation. */
export type GenerationHeadersReader = (
  headers: IncomingHttpHeaders,
) => Result<GenerationHeaders, Failure>;

/** Makes a reader of headers. The schema is built once, as that costs more than a check by it. */
export function generationHeadersReader(limits: GatewayLimits): GenerationHeadersReader {
  const schema = z.object({
    [IDEMPOTENCY_KEY]: z
      .string()
      .regex(/^[\x21-\x7e]{1,256}$/, 'must be 1 to 256 visible ASCII characters')
      .optional(),
    [REPEATABLE]: z.enum(['true', 'false']).default('true'),
    [DEADLINE]: wholeNumberText(1, limits.maxDeadline).optional(),
  });
  return (headers) =>
    check(schema, headers).andThen((checked) => {
      const idempotencyKey = checked[IDEMPOTENCY_KEY] ?? null;
      const repeatable = checked[REPEATABLE] === 'true';
      if (!repeatable && idempotencyKey === null) {
        return Result.err(malformed(IDEMPOTENCY_KEY, 'needed where a request is not repeatable'));
      }
      const timeLeft = checked[DEADLINE] ?? limits.defaultDeadline;
      return Result.ok({ idempotencyKey, repeatable, timeLeft });
    });
}
