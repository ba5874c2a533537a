/**
 * One HTTP request with a bounded answer, for the platform clients. Tells apart a request that
 * was never sent from one whose answer is missing, as only the first is known not to have run.
 */
import http from 'node:http';
import type { Milliseconds } from '../core/units.js';

/** A request to an address such as `127.0.0.1:2379`. */
export interface HttpExchange {
  readonly agent: http.Agent;
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON; no body where absent. */
  readonly body?: unknown;
  /** From the call until the whole answer is there. */
  readonly timeout: Milliseconds;
  /** Longer answers count as lost. */
  readonly maximumBytes: number;
}

/** How a request ended. */
export type HttpOutcome =
  | {
      readonly kind: 'answer';
      readonly status: number;
      /** From the Retry-After header; 0 where it is absent. */
      readonly retryAfter: Milliseconds;
      readonly body: string;
    }
  /** No connection came about: the other side has seen nothing. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The request left, and a whole answer did not come. */
  | { readonly kind: 'lost'; readonly reason: string };

/** Options of Node's request for an address; headers say that bodies are JSON. */
export function requestOptions(
  exchange: Pick<HttpExchange, 'agent' | 'address' | 'method' | 'path'>,
): http.RequestOptions {
  const separator = exchange.address.lastIndexOf(':');
  return {
    agent: exchange.agent,
    host: exchange.address.slice(0, separator),
    port: Number(exchange.address.slice(separator + 1)),
    method: exchange.method,
    path: exchange.path,
    headers: { 'content-type': 'application/json' },
  };
}

/** Calls back once a request has a connection, from when on the other side may see it. */
export function onConnected(request: http.ClientRequest, listener: () => void): void {
  request.on('socket', (socket) => {
    if (socket.connecting) socket.once('connect', listener);
    else listener();
  });
}

/** Retry-After of an answer. */
export function retryAfterOf(response: http.IncomingMessage): Milliseconds {
  const seconds = Number(response.headers['retry-after']);
  return Number.isFinite(seconds) && seconds > 0 ? seconds * 1_000 : 0;
}

/** Sends one request and waits for the whole answer; never rejects. */
export function exchangeHttp(exchange: HttpExchange): Promise<HttpOutcome> {
  return new Promise((resolve) => {
    const request = http.request(requestOptions(exchange));
    let connected = false;
    const end = (outcome: HttpOutcome): void => {
      clearTimeout(timer);
      resolve(outcome);
      if (outcome.kind !== 'answer') request.destroy();
    };
    const fail = (reason: string): void => end({ kind: connected ? 'lost' : 'not-sent', reason });
    const timer = setTimeout(() => fail('timeout'), exchange.timeout);
    onConnected(request, () => {
      connected = true;
    });
    request.on('error', (error) => fail(error.message));
    request.on('response', (response) => collect(response, exchange.maximumBytes, end, fail));
    request.end(exchange.body === undefined ? undefined : JSON.stringify(exchange.body));
  });
}

function collect(
  response: http.IncomingMessage,
  maximumBytes: number,
  end: (outcome: HttpOutcome) => void,
  fail: (reason: string) => void,
): void {
  const parts: Buffer[] = [];
  let size = 0;
  response.on('data', (part: Buffer) => {
    size += part.length;
    if (size > maximumBytes) fail('the answer is too large');
    else parts.push(part);
  });
  response.on('error', (error) => fail(error.message));
  response.on('end', () => {
    const body = Buffer.concat(parts).toString('utf8');
    const status = response.statusCode ?? 0;
    end({ kind: 'answer', status, retryAfter: retryAfterOf(response), body });
  });
}

/** Reads JSON; `undefined` where the text is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
