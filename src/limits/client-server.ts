/**
 * HTTP server for clients that may send anything: it bounds the connections, the time for a head and the
 * requests that a connection sends ahead of its answers.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import { type Milliseconds, SECOND } from '../core/units.js';
import { ConnectionLimit } from './connection-limit.js';
import { MAX_HEAD_BYTES } from './process-limits.js';
import { stopParsing } from './stop-parsing.js';

/** Unanswered requests of one connection; one that sends more is closed. */
const MAX_UNANSWERED_REQUESTS = 16;

const HEAD_CHECK_INTERVAL: Milliseconds = 5 * SECOND;

/** Why a connection was closed. */
export type ClosingCause =
  /** Too many connections; the name says what it was doing. */
  | 'idle'
  | 'receiving'
  | 'answering'
  | 'working'
  /** Too many requests ahead of their answers. */
  | 'ahead';

export interface ClientServerOptions {
  /** Most connections. */
  readonly maxConnections: number;
  /** Time for the head of a request, from the opening of the connection or the first byte. */
  readonly headerTimeout: Milliseconds;
  /** Time without a request after which a connection is closed. */
  readonly keepAliveTimeout: Milliseconds;
  /** Time without a byte, in any phase, after which a connection is closed. @default no limit */
  readonly idleTimeout?: Milliseconds;
  /** Called when a limit closes a connection. */
  readonly onClosed?: (cause: ClosingCause) => void;
}

/** Creates a server whose `headersTimeout` and `keepAliveTimeout` may be changed later. */
export function createClientServer(
  options: ClientServerOptions,
  serve: (request: http.IncomingMessage, response: http.ServerResponse) => void,
): http.Server {
  const { maxConnections, headerTimeout, keepAliveTimeout, idleTimeout = 0, onClosed } = options;
  const server = http.createServer({
    maxHeaderSize: MAX_HEAD_BYTES,
    connectionsCheckingInterval: HEAD_CHECK_INTERVAL,
    keepAliveTimeout,
    requestTimeout: 0,
  });
  server.headersTimeout = headerTimeout;
  server.setTimeout(idleTimeout);
  new ConnectionLimit({ limit: maxConnections, ...(onClosed && { onClosed }) }).watch(server);
  const unanswered = new WeakMap<Socket, Set<http.ServerResponse>>();
  server.on('connection', (socket: Socket) => {
    const responses = new Set<http.ServerResponse>();
    unanswered.set(socket, responses);
    socket.once('close', () => setImmediate(closeAll, responses));
  });
  server.on('request', (request, response) => {
    const { socket } = request;
    const responses = unanswered.get(socket);
    // The rest of the bytes that were read together is still parsed.
    if (socket.destroyed || responses === undefined) return;
    if (responses.size >= MAX_UNANSWERED_REQUESTS) {
      stopParsing(socket);
      onClosed?.('ahead');
      return;
    }
    responses.add(response);
    response.once('close', () => responses.delete(response));
    serve(request, response);
  });
  return server;
}

/** Closes the responses that waited for their turn when the connection closed, for which Node emits no event. */
function closeAll(responses: ReadonlySet<http.ServerResponse>): void {
  for (const response of [...responses]) {
    response.destroy();
    response.emit('close');
  }
}
