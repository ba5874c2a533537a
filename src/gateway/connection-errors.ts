/**
 * Answers to connections whose requests Node's parser gave up on, before any request exists.
 */
import type { Socket } from 'node:net';
import { ERROR_ANSWERS, type ErrorKind, failure } from '../errors/error-kinds.js';
import { problemDocument, problemHeaders } from './problem-document.js';

/** Kinds for the parser's error codes; any other is a malformed request. */
const KINDS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headers_too_large',
  ERR_HTTP_REQUEST_TIMEOUT: 'sender_too_slow',
};

/** Answers and closes the connection; gives the kind, `undefined` where no one listens. */
export function answerConnectionError(
  error: NodeJS.ErrnoException,
  socket: Socket,
): ErrorKind | undefined {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return undefined;
  }
  const kind = KINDS[error.code ?? ''] ?? 'malformed_request';
  socket.end(rawAnswer(kind), () => socket.destroy());
  return kind;
}

function rawAnswer(kind: ErrorKind): string {
  const value = failure(kind, 'the request could not be parsed');
  const body = JSON.stringify(problemDocument(value));
  const headers = {
    ...problemHeaders(value),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(([name, text]) => `${name}: ${text}`);
  return [`HTTP/1.1 ${ERROR_ANSWERS[kind].status} Error`, ...lines, '', body].join('\r\n');
}
