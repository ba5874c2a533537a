/**
 * Routes that need no token: `/healthz`, `/readyz` and `/metrics`.
 */
import type { ServerResponse } from 'node:http';
import { HTTP_STATUS } from '../core/http-status.js';
import type { Readiness } from '../node/calls.js';
import type { CallHandler } from './call-handler.js';
import { writeDocument } from './response-writer.js';

const METRICS_MEDIA_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Paths of these routes. */
export const HEALTH_PATHS: readonly string[] = ['/healthz', '/readyz', '/metrics'];

/** Answers one of {@link HEALTH_PATHS}. */
export async function answerHealth(
  path: string,
  response: ServerResponse,
  handler: CallHandler,
  draining: boolean,
): Promise<void> {
  if (path === '/healthz') {
    writeDocument(response, { status: HTTP_STATUS.ok, document: { alive: true } });
  } else if (path === '/readyz') {
    const readiness = readinessOf(handler, draining);
    const status = readiness.ready ? HTTP_STATUS.ok : HTTP_STATUS.serviceUnavailable;
    writeDocument(response, { status, document: readiness });
  } else {
    const counters = await handler.countersText();
    response.writeHead(HTTP_STATUS.ok, { 'content-type': METRICS_MEDIA_TYPE }).end(counters);
  }
}

function readinessOf(handler: CallHandler, draining: boolean): Readiness {
  return draining ? { ready: false, reason: 'stopping' } : handler.readiness();
}
