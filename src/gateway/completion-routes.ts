/**
 * `POST /v1/completions` and `POST /v1/chat/completions`, for interactive callers.
 */
import { randomUUID } from 'node:crypto';
import type { Result } from 'true-myth';
import { placementHash } from '../core/hashing.js';
import { SECOND } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import { chatPrompt } from './chat-template.js';
import {
  type AnswerShape,
  CHAT_SHAPE,
  COMPLETION_SHAPE,
  generationFormat,
} from './completion-answer.js';
import {
  chatSchema,
  completionSchema,
  type GenerationHeaders,
  generationHeadersReader,
} from './completion-schema.js';
import { check } from './request-check.js';
import type { PreparedCall, Route, RouteRequest } from './route-table.js';
import type { RouteEnvironment } from './routes.js';

/** What both routes ask for once their body is read. */
interface GenerationFields {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly seed: number | undefined;
  readonly stream: boolean;
}

/** The routes of this family. */
export function completionRoutes(environment: RouteEnvironment): readonly Route[] {
  return [
    route(environment, '/v1/completions', COMPLETION_SHAPE, completionFields),
    route(environment, '/v1/chat/completions', CHAT_SHAPE, chatFields),
  ];
}

function route(
  environment: RouteEnvironment,
  path: string,
  shape: AnswerShape,
  fieldsOf: (body: unknown) => Result<GenerationFields, Failure>,
): Route {
  const readHeaders = generationHeadersReader(environment.limits);
  return {
    method: 'POST',
    path,
    roles: ['caller'],
    maxBodyBytes: environment.limits.maxBodyBytes,
    prepare: (request) =>
      readHeaders(request.headers).andThen((headers) =>
        fieldsOf(request.body).map((fields) =>
          prepareGeneration(environment, request, shape, headers, fields),
        ),
      ),
  };
}

function completionFields(body: unknown): Result<GenerationFields, Failure> {
  return check(completionSchema, body).map(({ model, prompt, max_tokens, seed, stream }) => {
    return { model, prompt, maxTokens: max_tokens, seed, stream };
  });
}

function chatFields(body: unknown): Result<GenerationFields, Failure> {
  return check(chatSchema, body).map(({ model, messages, max_tokens, seed, stream }) => {
    return { model, prompt: chatPrompt(messages), maxTokens: max_tokens, seed, stream };
  });
}

function prepareGeneration(
  environment: RouteEnvironment,
  request: RouteRequest,
  shape: AnswerShape,
  headers: GenerationHeaders,
  fields: GenerationFields,
): PreparedCall {
  const id = randomUUID();
  const { model, prompt, maxTokens, stream } = fields;
  const { idempotencyKey, repeatable } = headers;
  const deadline = environment.handler.now() + headers.timeLeft;
  const created = Math.floor(Date.now() / SECOND);
  return {
    call: {
      kind: 'generate',
      account: request.account.name,
      model,
      prompt,
      maxTokens,
      samplingSeed: fields.seed ?? placementHash(idempotencyKey ?? id),
      idempotencyKey,
      repeatable,
      deadline,
      stream,
    },
    deadline,
    format: generationFormat(shape, { id, created, model, prompt }, stream),
  };
}
