/**
 * Writes answers: JSON documents and problem documents.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Milliseconds } from '../core/units.js';
import { ERROR_ANSWERS, type Failure } from '../errors/error-kinds.js';
import type { DocumentAnswer } from './answer-format.js';
import { problemDocument, problemHeaders } from './problem-document.js';

/** Writes a JSON document. */
export function writeDocument(response: ServerResponse, answer: DocumentAnswer): void {
  const body = Buffer.from(JSON.stringify(answer.document));
  const headers = { 'content-type': 'application/json', 'content-length': body.length };
  response.writeHead(answer.status, headers).end(body);
}

/**
 * Writes a problem document. Where the request's body was not read to its end, the answer is sent
 * at once, what still arrives is thrown away for at most `lingerTime`, and the connection closes:
 * closing it earlier could destroy the answer on its way.
 */
export function writeProblem(
  request: IncomingMessage,
  response: ServerResponse,
  value: Failure,
  lingerTime: Milliseconds,
): void {
  const body = Buffer.from(JSON.stringify(problemDocument(value)));
  const headers = { ...problemHeaders(value), 'content-length': body.length };
  const { status } = ERROR_ANSWERS[value.kind];
  if (request.complete || !hasBody(request)) {
    response.writeHead(status, headers).end(body);
    return;
  }
  response.writeHead(status, { ...headers, connection: 'close' });
  response.write(body);
  linger(request, response, lingerTime);
}

function hasBody(request: IncomingMessage): boolean {
  const { headers } = request;
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function linger(request: IncomingMessage, response: ServerResponse, time: Milliseconds): void {
  const timer = setTimeout(() => response.end(), time);
  const finish = (): void => {
    clearTimeout(timer);
    response.end();
  };
  request.once('end', finish).once('close', finish);
  request.resume();
}
