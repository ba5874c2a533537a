/**
 * Bodies and query parameters of the rollout routes.
 */
import * as z from 'zod';
import { MAX_NAME_LENGTH, MAX_SEED, MAX_TOKENS_LIMIT } from './completion-schema.js';
import type { GatewayLimits } from './gateway-options.js';
import { wholeNumberText } from './request-check.js';

/** Samples one read gives where the trainer names no limit, and at most. */
const DEFAULT_PAGE_LIMIT = 256;
const MAX_PAGE_LIMIT = 1_024;

/** Longest time a step may stay open. */
const MAX_STEP_TIMEOUT_MILLISECONDS = 24 * 60 * 60 * 1_000;

/** Name of a step: letters, digits, `.`, `_`, `-`. */
export const stepIdSchema = z
  .string()
  .regex(/^[A-Za-z0-9._-]{1,128}$/, 'must be 1 to 128 letters, digits, ".", "_" or "-"');

const sampleSchema = z.strictObject({
  key: z.string().min(1).max(MAX_NAME_LENGTH),
  prompt: z.string().min(1),
  max_tokens: z.int().min(1).max(MAX_TOKENS_LIMIT),
  seed: z.int().min(0).max(MAX_SEED),
});

/** Body of `POST /v1/rollouts`. */
export function stepSchema(limits: GatewayLimits) {
  return z.strictObject({
    step_id: stepIdSchema,
    model: z.string().min(1).max(MAX_NAME_LENGTH),
    timeout_ms: z.int().min(1).max(MAX_STEP_TIMEOUT_MILLISECONDS),
    samples: z
      .array(sampleSchema)
      .min(1)
      .max(limits.maxSamples)
      .refine((samples) => new Set(samples.map((sample) => sample.key)).size === samples.length, {
        message: 'each key must be given once',
      }),
  });
}

/** Query of `GET /v1/rollouts/:step`. */
export function readSchema(limits: GatewayLimits) {
  return z.strictObject({
    cursor: wholeNumberText(0, limits.maxSamples).default(0),
    limit: wholeNumberText(1, MAX_PAGE_LIMIT).default(DEFAULT_PAGE_LIMIT),
    wait_ms: wholeNumberText(0, limits.maxWait).default(0),
  });
}

/** Body of `POST /v1/rollouts/:step/acknowledge`. */
export const acknowledgeSchema = z.strictObject({ cursor: z.int().min(0) });

/** Body of `POST /v1/rollouts/:step/close`. */
export const emptySchema = z.strictObject({});
