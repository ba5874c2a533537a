/**
 * `/v1/rollouts`: a trainer submits a step, reads it by cursor, acknowledges and closes it.
 */
import { Result } from 'true-myth';
import { HTTP_STATUS } from '../core/http-status.js';
import type { Failure } from '../errors/error-kinds.js';
import type { NodeCall, ReplyBody, StepPage } from '../node/calls.js';
import type { DocumentAnswer } from './answer-format.js';
import { versionRanges } from './completion-answer.js';
import { problemDocument } from './problem-document.js';
import { check, checkQuery } from './request-check.js';
import {
  acknowledgeSchema,
  emptySchema,
  readSchema,
  stepIdSchema,
  stepSchema,
} from './rollout-schema.js';
import type { PreparedCall, Route, RouteRequest } from './route-table.js';
import type { RouteEnvironment } from './routes.js';

/** The routes of this family. */
export function rolloutRoutes(environment: RouteEnvironment): readonly Route[] {
  const { maxBodyBytes, maxRolloutBodyBytes } = environment.limits;
  const common = { roles: ['trainer'], maxBodyBytes } as const;
  const submit = submitRoute(environment);
  const read = readRoute(environment);
  const acknowledge = acknowledgeRoute(environment);
  const close = closeRoute(environment);
  return [
    {
      ...common,
      method: 'POST',
      path: '/v1/rollouts',
      prepare: submit,
      maxBodyBytes: maxRolloutBodyBytes,
    },
    { ...common, method: 'GET', path: '/v1/rollouts/:step', prepare: read },
    { ...common, method: 'POST', path: '/v1/rollouts/:step/acknowledge', prepare: acknowledge },
    { ...common, method: 'POST', path: '/v1/rollouts/:step/close', prepare: close },
  ];
}

type Prepare = (request: RouteRequest) => Result<PreparedCall, Failure>;

function submitRoute(environment: RouteEnvironment): Prepare {
  const schema = stepSchema(environment.limits);
  return ({ account, body }) =>
    check(schema, body).map((step) =>
      prepared(environment, {
        kind: 'step-submit',
        account: account.name,
        model: step.model,
        stepId: step.step_id,
        samples: step.samples.map(({ key, prompt, max_tokens, seed }) => {
          return { key, prompt, maxTokens: max_tokens, samplingSeed: seed };
        }),
        timeout: step.timeout_ms,
      }),
    );
}

function readRoute(environment: RouteEnvironment): Prepare {
  const schema = readSchema(environment.limits);
  return ({ account, parameters, query }) =>
    stepIdOf(parameters).andThen((stepId) =>
      checkQuery(schema, query).map(({ cursor, limit, wait_ms }) => {
        const deadline = environment.handler.now() + wait_ms;
        const range = { stepId, cursor, limit, deadline };
        const call: NodeCall = { kind: 'step-read', account: account.name, ...range };
        return { ...prepared(environment, call), deadline };
      }),
    );
}

function acknowledgeRoute(environment: RouteEnvironment): Prepare {
  return ({ account, parameters, body }) =>
    stepIdOf(parameters).andThen((stepId) =>
      check(acknowledgeSchema, body).map(({ cursor }) =>
        prepared(environment, {
          kind: 'step-acknowledge',
          account: account.name,
          stepId,
          cursor,
        }),
      ),
    );
}

function closeRoute(environment: RouteEnvironment): Prepare {
  return ({ account, parameters, body }) =>
    stepIdOf(parameters).andThen((stepId) =>
      check(emptySchema, body).map(() =>
        prepared(environment, { kind: 'step-close', account: account.name, stepId }),
      ),
    );
}

function stepIdOf(parameters: RouteRequest['parameters']): Result<string, Failure> {
  const checked = check(stepIdSchema, parameters.step);
  return checked.isOk ? checked : Result.err({ ...checked.error, detail: 'step id: not valid' });
}

function prepared(environment: RouteEnvironment, call: NodeCall): PreparedCall {
  const deadline = environment.handler.now() + environment.limits.defaultDeadline;
  return { call, deadline, format: { kind: 'document', render } };
}

function render(body: ReplyBody): DocumentAnswer | undefined {
  switch (body.kind) {
    case 'step-accepted': {
      const { stepId, sampleCount, repeated } = body;
      const document = { step_id: stepId, sample_count: sampleCount, repeated };
      return { status: HTTP_STATUS.accepted, document };
    }
    case 'step-page':
      return { status: HTTP_STATUS.ok, document: pageDocument(body.page) };
    case 'step-acknowledged':
      return {
        status: HTTP_STATUS.ok,
        document: { step_id: body.stepId, acknowledged: body.cursor },
      };
    case 'step-closed':
      return { status: HTTP_STATUS.ok, document: { step_id: body.stepId, state: 'closed' } };
    default:
      return undefined;
  }
}

function pageDocument(page: StepPage): object {
  return {
    step_id: page.stepId,
    state: page.state,
    sample_count: page.sampleCount,
    next_cursor: page.nextCursor,
    acknowledged: page.acknowledged,
    samples: page.samples.map(({ position, key, result }) => ({
      position,
      key,
      text: result.text,
      token_count: result.tokenCount,
      finish_reason: result.finishReason,
      versions: versionRanges(result.segments),
    })),
    failure: page.failure === null ? null : problemDocument(page.failure),
  };
}
