/**
 * Wire form of model engines: bodies and schemas of completions, reports and orders.
 */
import * as z from 'zod';
import type { GenerationRequest } from '../core/generation.js';

const count = z.number().int().nonnegative();

/** Longest name of an adapter, in characters. */
const ADAPTER_LENGTH = 256;

/** A run of tokens of one version. */
export const tokenSegment = z.object({ version: count, firstToken: count, tokenCount: count });

/** One event of a completion's stream. */
export const completionChunk = z.object({
  choices: z
    .array(z.object({ text: z.string(), finish_reason: z.enum(['stop', 'length']).nullable() }))
    .length(1),
  wardwing: z.object({ segment: tokenSegment.nullable() }),
});

/** Answer of `/load`. */
export const workerReport = z.object({
  worker: z.string().min(1),
  running: count,
  waiting: count,
  activeVersion: count,
  loadedVersions: z.array(count),
  epoch: count,
  leaving: z.boolean(),
});

/** Body of `/orders`. */
export const engineOrder = z.object({
  epoch: count,
  action: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('load'), version: count }),
    z.object({ kind: z.literal('activate'), version: count }),
    z.object({ kind: z.literal('load-adapter'), adapter: z.string().min(1).max(ADAPTER_LENGTH) }),
    z.object({ kind: z.literal('change-role'), role: z.enum(['mixed', 'prefill', 'decode']) }),
  ]),
});

/** Answer of `/orders`. */
export const orderResult = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done') }),
  z.object({ kind: z.literal('refused-epoch'), epoch: count }),
  z.object({ kind: z.literal('failed'), reason: z.string() }),
]);

/** Body of `/v1/completions`; `wardwing` holds the extension fields. */
export const completionRequest = z.object({
  model: z.string(),
  prompt: z.string(),
  max_tokens: count.min(1),
  seed: z.number().int(),
  stream: z.literal(true),
  wardwing: z.object({
    requestId: z.string(),
    priority: z.enum(['interactive', 'training']),
    oldestVersion: count,
    promptGroup: z.string(),
    /**
     * The answer goes on after these tokens. The engine streams them first, as they are given; one
     * that does not know the field makes the answer from its start.
     */
    resume: z.object({ text: z.string(), segments: z.array(tokenSegment).min(1) }).optional(),
  }),
});

/** Body that asks an engine for a generation. */
export function encodeGeneration(request: GenerationRequest): z.infer<typeof completionRequest> {
  const { resume } = request;
  return {
    model: request.model,
    prompt: request.prompt,
    max_tokens: request.maxTokens,
    seed: request.samplingSeed,
    stream: true,
    wardwing: {
      requestId: request.requestId,
      priority: request.trafficClass,
      oldestVersion: request.oldestVersion,
      promptGroup: request.promptGroup,
      ...(resume === undefined
        ? {}
        : { resume: { text: resume.text, segments: [...resume.segments] } }),
    },
  };
}
