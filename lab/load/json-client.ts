/** A small JSON client over Node's http, for the lab's trainers, callers and operators. */
import http from 'node:http';

/** An answer with its status; `document` is `null` where the body was not JSON. */
export interface JsonAnswer {
  readonly status: number;
  readonly document: unknown;
}

/** One request. */
export interface JsonRequest {
  readonly method: 'GET' | 'POST';
  readonly address: string;
  readonly path: string;
  readonly token?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Milliseconds. */
  readonly timeout: number;
}

const agent = new http.Agent({ keepAlive: true });

/** Sends a request; `undefined` where no whole answer came. */
export function requestJson(request: JsonRequest): Promise<JsonAnswer | undefined> {
  const [host, port] = request.address.split(':');
  const text = request.body === undefined ? undefined : JSON.stringify(request.body);
  return new Promise((resolve) => {
    const outgoing = http.request(
      {
        agent,
        host,
        port: Number(port),
        method: request.method,
        path: request.path,
        headers: headersOf(request, text),
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => finish(undefined));
        response.on('aborted', () => finish(undefined));
        response.on('end', () =>
          finish({
            status: response.statusCode ?? 0,
            document: parse(Buffer.concat(chunks).toString('utf8')),
          }),
        );
      },
    );
    const timer = setTimeout(() => outgoing.destroy(), request.timeout);
    const finish = (answer: JsonAnswer | undefined): void => {
      clearTimeout(timer);
      resolve(answer);
    };
    outgoing.on('error', () => finish(undefined));
    outgoing.end(text);
  });
}

function headersOf(request: JsonRequest, text: string | undefined): Record<string, string> {
  const headers: Record<string, string> = { ...request.headers };
  if (request.token !== undefined) headers.authorization = `Bearer ${request.token}`;
  if (text !== undefined) {
    headers['content-type'] = 'application/json';
    headers['content-length'] = String(Buffer.byteLength(text));
  }
  return headers;
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}

/** Ends idle connections so that the process can exit. */
export function closeConnections(): void {
  agent.destroy();
}
