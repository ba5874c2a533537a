/**
 * Routes for operators: intents, weight versions, drains, status and explanations.
 */
import type { Result } from 'true-myth';
import * as z from 'zod';
import { DRAIN_KINDS } from '../config-feed/configuration.js';
import { HTTP_STATUS } from '../core/http-status.js';
import type { Failure } from '../errors/error-kinds.js';
import type { NodeCall, ReplyBody } from '../node/calls.js';
import type { DocumentAnswer } from './answer-format.js';
import { MAX_NAME_LENGTH } from './completion-schema.js';
import { check, checkQuery } from './request-check.js';
import { emptySchema } from './rollout-schema.js';
import type { Route, RouteRequest } from './route-table.js';
import type { RouteEnvironment } from './routes.js';

/** Longest reason of a drain. */
const MAX_REASON_LENGTH = 1_024;

const name = z.string().min(1).max(MAX_NAME_LENGTH);

const proposeSchema = z.strictObject({ draft: z.looseObject({}) });
const confirmSchema = z.strictObject({ plan_id: name });
const versionSchema = z.strictObject({
  version: z.int().min(1),
  digest: name,
  bytes: z.int().min(1),
});
const drainSchema = z.strictObject({
  target: z.strictObject({ kind: z.enum(DRAIN_KINDS), name }),
  reason: z.string().max(MAX_REASON_LENGTH),
  drained: z.boolean(),
});

type CallOf = (request: RouteRequest) => Result<NodeCall, Failure>;

/** The routes of this family. */
export function operatorRoutes(environment: RouteEnvironment): readonly Route[] {
  const post = (path: string, callOf: CallOf) => route(environment, 'POST', path, callOf);
  const get = (path: string, callOf: CallOf) => route(environment, 'GET', path, callOf);
  return [
    post('/v1/intents/propose', proposeCall(environment)),
    post('/v1/intents/confirm', confirmCall),
    get('/v1/intents', accountCall('intent-show')),
    get('/v1/intents/history', accountCall('intent-history')),
    { ...post('/v1/models/:model/versions', publishCall), roles: ['trainer', 'operator'] },
    post('/v1/drains', drainCall),
    get('/v1/status', accountCall('status')),
    get('/v1/explain/:subject*', explainCall),
  ];
}

function route(
  environment: RouteEnvironment,
  method: Route['method'],
  path: string,
  callOf: CallOf,
): Route {
  const { limits, handler } = environment;
  return {
    method,
    path,
    roles: ['operator'],
    maxBodyBytes: limits.maxBodyBytes,
    prepare: (request) =>
      callOf(request).map((call) => ({
        call,
        deadline: handler.now() + limits.defaultDeadline,
        format: { kind: 'document', render },
      })),
  };
}

function proposeCall({ parseIntent }: RouteEnvironment): CallOf {
  return ({ account, body }) =>
    check(proposeSchema, body)
      .andThen(({ draft }) => parseIntent(draft))
      .map((draft) => ({ kind: 'intent-propose', account: account.name, draft }));
}

const confirmCall: CallOf = ({ account, body }) =>
  check(confirmSchema, body).map(({ plan_id }) => {
    return { kind: 'intent-confirm', account: account.name, planId: plan_id };
  });

const publishCall: CallOf = ({ account, parameters, body }) =>
  check(versionSchema, body).map((version) => {
    const model = parameters.model ?? '';
    return { kind: 'version-publish', account: account.name, model, version };
  });

const drainCall: CallOf = ({ account, body }) =>
  check(drainSchema, body).map((drain) => ({ kind: 'drain', account: account.name, ...drain }));

const explainCall: CallOf = ({ account, parameters, query }) =>
  checkQuery(emptySchema, query).map(() => {
    return { kind: 'explain', account: account.name, subject: parameters.subject ?? '' };
  });

function accountCall(kind: 'intent-show' | 'intent-history' | 'status'): CallOf {
  return ({ account, query }) =>
    checkQuery(emptySchema, query).map(() => ({ kind, account: account.name }));
}

function render(body: ReplyBody): DocumentAnswer | undefined {
  if (body.kind === 'operator') return { status: HTTP_STATUS.ok, document: body.document };
  if (body.kind !== 'accepted') return undefined;
  return { status: HTTP_STATUS.accepted, document: { revision: body.revision } };
}
