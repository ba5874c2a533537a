/**
 * HTTP server of the emulators: routes by method and path, on loopback only.
 */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Largest body an emulator reads. */
const MAXIMUM_BODY_BYTES = 64 * 1_048_576;

/** Answers one request; a body was not read yet. */
export type RouteHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void | Promise<void>;

/** Handlers by `METHOD /path`. A path that ends in `/` takes all paths below it. */
export type Routes = Readonly<Record<string, RouteHandler>>;

/** A server that runs. */
export interface RunningServer {
  /** Host and port, e.g. `127.0.0.1:2379`. */
  readonly address: string;
  close(): Promise<void>;
}

/** Starts a server on a loopback port; 0 for any free one. */
export async function startServer(routes: Routes, port: number): Promise<RunningServer> {
  const server = http.createServer((request, response) => {
    response.on('error', () => response.destroy());
    void answer(routes, request, response);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const bound = server.address() as AddressInfo;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return { address: `127.0.0.1:${bound.port}`, close };
}

async function answer(
  routes: Routes,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const path = (request.url ?? '').split('?')[0] ?? '';
  const parent = path.slice(0, path.indexOf('/', 1) + 1);
  const handler = routes[`${request.method} ${path}`] ?? routes[`${request.method} ${parent}`];
  if (handler === undefined) {
    sendJson(response, 404, { error: 'not found' });
    return;
  }
  try {
    await handler(request, response);
  } catch (error) {
    if (response.headersSent) response.destroy();
    else sendJson(response, 400, { error: String(error) });
  }
}

/** Reads a whole body as JSON; rejects what is too large or no JSON. */
export async function readBody(request: http.IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > MAXIMUM_BODY_BYTES) throw new RangeError('the body is too large');
    parts.push(part);
  }
  return size === 0 ? {} : JSON.parse(Buffer.concat(parts).toString('utf8'));
}

/** Sends a JSON answer. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(JSON.stringify(body));
}
