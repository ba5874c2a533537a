/** HTTP client of the operator interface of a node. */
import { type ClientRequest, request as httpRequest, type IncomingMessage } from 'node:http';
import { Result } from 'true-myth';
import { FIRST_ERROR_STATUS } from '../core/http-status.js';
import { MEBIBYTE } from '../core/units.js';

/** Longer than a node takes to answer or fail a request of an operator. */
const ANSWER_TIMEOUT_MS = 30_000;

const MAX_ANSWER_BYTES = 64 * MEBIBYTE;

/** Address of the node, and token of the operator. */
export interface OperatorClientOptions {
  readonly host: string;
  readonly port: number;
  readonly token: string;
  /** Timeout of an answer, in milliseconds. @default 30000 */
  readonly answerTimeout?: number;
}

export interface OperatorRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON; `null` for no body. */
  readonly body: unknown;
}

/** The used members of a problem document (RFC 9457). */
export interface Problem {
  readonly kind: string;
  readonly ran: string;
  readonly retry_after_ms: number | null;
  readonly detail: string;
}

/** Why a request failed. */
export type ClientFailure =
  | {
      readonly kind: 'unreachable';
      readonly detail: string;
      /** Whether the node may have received the request. */
      readonly mayBeReceived: boolean;
    }
  | { readonly kind: 'problem'; readonly problem: Problem };

/** The answer of the node: a JSON object, or the failure. */
export type ClientAnswer = Result<Readonly<Record<string, unknown>>, ClientFailure>;

export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** Sends a request; the promise never rejects. */
  send(request: OperatorRequest): Promise<ClientAnswer> {
    return new Promise((resolve) => {
      let connected = false;
      const outgoing = this.#open(request);
      const fail = (detail: string): void => {
        resolve(Result.err({ kind: 'unreachable', detail, mayBeReceived: connected }));
      };
      outgoing.on('socket', (socket) => {
        socket.on('connect', () => {
          connected = true;
        });
      });
      outgoing.on('error', (error) => fail(error.message));
      outgoing.on('timeout', () => outgoing.destroy(new Error('no answer within the timeout')));
      outgoing.on('response', (incoming) => {
        readText(incoming).then(
          (text) => resolve(answerOf(incoming.statusCode ?? 0, text)),
          (error) => fail(String(error)),
        );
      });
      outgoing.end(request.body === null ? undefined : JSON.stringify(request.body));
    });
  }

  #open(request: OperatorRequest): ClientRequest {
    const { host, port, token, answerTimeout } = this.#options;
    return httpRequest({
      host,
      port,
      method: request.method,
      path: request.path,
      agent: false,
      timeout: answerTimeout ?? ANSWER_TIMEOUT_MS,
      headers: {
        authorization: `Bearer ${token}`,
        accept: 'application/json',
        ...(request.body === null ? {} : { 'content-type': 'application/json' }),
      },
    });
  }
}

async function readText(incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of incoming) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > MAX_ANSWER_BYTES) throw new Error('answer exceeds the limit of 64 MiB');
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function answerOf(status: number, text: string): ClientAnswer {
  const document = parseObject(text);
  if (status < FIRST_ERROR_STATUS && document !== null) return Result.ok(document);
  const problem: Problem = {
    kind: textOf(document?.kind, 'internal'),
    ran: textOf(document?.ran, 'unknown'),
    retry_after_ms: typeof document?.retry_after_ms === 'number' ? document.retry_after_ms : null,
    detail: textOf(document?.detail, `the node answered with status ${status}`),
  };
  return Result.err({ kind: 'problem', problem });
}

function parseObject(text: string): Record<string, unknown> | null {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : null;
  } catch {
    return null;
  }
}

function textOf(value: unknown, fallback: string): string {
  return typeof value === 'string' ? value : fallback;
}
