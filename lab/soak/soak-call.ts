/** One call of a caller of the soak. */
import http from 'node:http';
import { HEADERS } from '../../platform/names.js';
import type { Milliseconds } from '../../src/core/units.js';
import { describingHeaders } from './offered-requests.js';

/** Where the routes of the soak lead. */
export const SOAK_HOST = 'soak.example';

/** Prefixes of the soak's routes. */
export const LOOKUP_PREFIX = '/lookups/';
/** Lookups that only one region may serve. */
export const REGIONAL_PREFIX = '/regional/';
export const ROLLOUT_PREFIX = '/rollouts/';
export const UPLOAD_PREFIX = '/uploads/';

/** The region in which alone regional lookups may be served. */
export const ALLOWED_REGION = 'region-b';

/** Longest time for a lookup. */
export const LOOKUP_LIMIT: Milliseconds = 1_500;

/** A call to one gateway. */
export interface SoakCall {
  /** IP and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly id: string;
  /** API key. */
  readonly key: string;
  readonly body: string | undefined;
  /** Time for which the answer may be held. */
  readonly wait: Milliseconds | undefined;
  readonly limit: Milliseconds;
  /** Keeps connections; without it each call has one of its own. */
  readonly agent?: http.Agent;
}

/** An answer that came whole. */
export interface SoakAnswer {
  readonly status: number;
  readonly body: string;
}

/** Makes the call; `undefined` where no whole answer came in time. Each call forges a tenant. */
export function performCall(call: SoakCall): Promise<SoakAnswer | undefined> {
  const [host, port] = call.address.split(':');
  const { method, path, limit, agent = false } = call;
  const request = http.request({ agent, host, port, method, path, headers: headersOf(call) });
  const answer = readAnswer(request, limit);
  request.end(call.body);
  return answer;
}

/** Reads the answer to a request; `undefined` where it did not come whole in time. */
export function readAnswer(
  request: http.ClientRequest,
  limit: Milliseconds,
): Promise<SoakAnswer | undefined> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => request.destroy(), limit);
    const settle = (answer: SoakAnswer | undefined): void => {
      clearTimeout(timer);
      resolve(answer);
    };
    request.on('error', () => settle(undefined));
    request.on('close', () => settle(undefined));
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => settle(undefined));
      response.on('close', () => {
        const text = Buffer.concat(chunks).toString();
        const status = response.statusCode ?? 0;
        settle(response.complete ? { status, body: text } : undefined);
      });
    });
  });
}

/** Headers of a call. */
export function headersOf({
  id,
  key,
  wait,
  limit,
  agent,
}: Pick<SoakCall, 'id' | 'key' | 'wait' | 'limit' | 'agent'>): http.OutgoingHttpHeaders {
  return {
    host: SOAK_HOST,
    ...(agent === undefined ? { connection: 'close' } : {}),
    [HEADERS.requestId]: id,
    [HEADERS.deadline]: String(limit),
    [HEADERS.key]: key,
    [HEADERS.tenant]: 'forged',
    ...describingHeaders(id),
    ...(wait === undefined ? {} : { [HEADERS.wait]: String(wait) }),
  };
}
