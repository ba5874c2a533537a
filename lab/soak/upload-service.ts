/**
 * How a worker of the soak serves uploads: it answers before, while or after it reads the body, and
 * keeps the connection and reads on later.
 */
import type http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { HEADERS } from '../../platform/names.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { WorkerSurroundings } from './worker-stand-in.js';

/** Time after an early answer before the worker reads on. */
const READING_PAUSE: Milliseconds = 40;

/** An instance that is not the one that answers. */
const MISDIRECTED = 421;

const REACTIONS = [
  'answer',
  'answer-before-body',
  'reject-before-body',
  'answer-within-body',
  'answer-before-body',
  'reset-within-body',
] as const;

/** Serves an upload and has it compared with what its caller sent. */
export async function serveUpload(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  worker: string,
  { requestCame }: Pick<WorkerSurroundings, 'requestCame'>,
): Promise<void> {
  if (request.headers[HEADERS.expectInstance] !== worker) {
    response.writeHead(MISDIRECTED, { [HEADERS.instance]: worker }).end();
    return;
  }
  requestCame(request);
  const id = String(request.headers[HEADERS.requestId] ?? '');
  const head = { [HEADERS.requestId]: id };
  const accept = (): void => {
    response.writeHead(200, { ...head, [HEADERS.stamp]: worker }).end(`uploaded ${id}`);
  };
  const reaction = reactionTo(id, worker);
  const isEarly = reaction.endsWith('before-body');
  // Node drops what is left of a request that nobody has begun to read when its answer is sent.
  request.read(0);
  if (reaction === 'answer-before-body') accept();
  if (reaction === 'reject-before-body') {
    response.writeHead(503, { ...head, [HEADERS.notRun]: '1' }).end();
  }
  if (isEarly) await sleep(READING_PAUSE);
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
      if (chunks.length > 1) continue;
      if (reaction === 'reset-within-body') request.socket.resetAndDestroy();
      if (reaction !== 'answer-within-body') continue;
      accept();
      await sleep(READING_PAUSE);
    }
  } catch {
    return;
  }
  if (!request.complete) return;
  if (reaction === 'answer') accept();
  requestCame(request, Buffer.concat(chunks));
}

/** The reaction of a worker to an upload, which follows from the ids of both. */
function reactionTo(request: string, worker: string): (typeof REACTIONS)[number] {
  const number = Number.parseInt(request.slice(-2), 16) + Number.parseInt(worker.slice(-2), 16);
  return REACTIONS[number % REACTIONS.length] ?? 'answer';
}
