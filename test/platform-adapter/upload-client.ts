/**
 * Clients that send requests in pieces over raw connections, with a length or in chunks, one after
 * another without awaiting answers, and that break uploads off.
 */
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { DESCRIBING_HEADERS, type UploadedRequest } from './upload-worker.js';

/** How the last request of a connection ends; those before it are sent whole. */
const ENDS = [
  'whole',
  'whole',
  'whole',
  'closed in the middle',
  'reset in the middle',
  'ended in the middle',
  'closed before the answer',
  'followed by other bytes',
  'with a length and in chunks',
] as const;

export type UploadEnd = (typeof ENDS)[number];

/** Ends of requests that are never whole. */
const INVALID_ENDS: ReadonlySet<UploadEnd> = new Set([
  'closed in the middle',
  'reset in the middle',
  'ended in the middle',
  'with a length and in chunks',
]);

const PREFIXES = ['/look/', '/look/', '/draw/'];

/** Bodies of about these sizes in bytes; the largest exceed what a connection buffers. */
const SIZES = [0, 10, 2_000, 2_000, 100_000, 100_000, 1_000_000, 9_000_000];

const MOST_REQUESTS = 3;
const MOST_PIECES = 6;
const LONGEST_PAUSE: Milliseconds = 8;

/** Times for which a client awaits `100 Continue`, and room to send more. */
const CONTINUE_LIMIT: Milliseconds = 50;
const DRAIN_LIMIT: Milliseconds = 200;

/** Time for which a client waits for its answers. */
const ANSWER_LIMIT: Milliseconds = 900;

export interface UploadClientOptions {
  readonly random: RandomSource;
  readonly port: number;
  /** Larger bodies are rejected by the gateway. */
  readonly maxBodyBytes: number;
  /** Records a request before its first byte is sent. */
  readonly onRequest: (request: UploadedRequest, end: UploadEnd) => void;
}

/** Sends one to a few requests over one connection. */
export async function upload(options: UploadClientOptions): Promise<void> {
  const { random, port } = options;
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.on('data', () => {});
  const closed = once(socket, 'close').catch(() => {});
  const count = 1 + random.integer(MOST_REQUESTS);
  for (let index = 1; index <= count && !socket.destroyed; index += 1) {
    const end = index === count ? (ENDS[random.integer(ENDS.length)] ?? 'whole') : 'whole';
    await sendRequest(socket, end, index === count, options);
  }
  await Promise.race([closed, sleep(ANSWER_LIMIT, undefined, { ref: false })]);
  socket.destroy();
}

async function sendRequest(
  socket: net.Socket,
  end: UploadEnd,
  isLast: boolean,
  { random, maxBodyBytes, onRequest }: UploadClientOptions,
): Promise<void> {
  const id = random.identifier();
  const body = drawBody(random, id);
  const isChunked = end === 'with a length and in chunks' || random.fraction() < 0.4;
  // A body without a byte that has a length has no middle.
  const isBrokenOff = INVALID_ENDS.has(end) && (isChunked || body.length > 0);
  const request: UploadedRequest = {
    id,
    body,
    method: ['POST', 'PUT', 'PATCH'][random.integer(3)] ?? '',
    path: `${PREFIXES[random.integer(PREFIXES.length)]}${id}?q=${random.integer(100)}%20+&q`,
    described: [
      `model-${random.integer(9)}`,
      `${random.integer(999)},${random.integer(99)}`,
      `${random.identifier()}:${random.integer(99)},${random.identifier()}:9`,
    ],
    isValid: !isBrokenOff && body.length <= maxBodyBytes,
  };
  onRequest(request, end);
  const framing = isChunked ? ['Transfer-Encoding: chunked'] : [`Content-Length: ${body.length}`];
  if (end === 'with a length and in chunks') framing.push(`Content-Length: ${body.length}`);
  const awaitsContinue = random.fraction() < 0.2;
  if (awaitsContinue) framing.push('Expect: 100-continue');
  if (isLast) framing.push('Connection: close');
  const parts = isChunked ? inChunks(body, random) : inPieces(body, random);
  const wholeParts = end.endsWith('in the middle') ? parts.slice(0, -1) : parts;
  socket.write(headOf(request, framing));
  if (awaitsContinue) await eventOrTimeout(socket, 'data', CONTINUE_LIMIT);
  for (const part of wholeParts) {
    if (socket.destroyed) return;
    const isDrained = socket.write(part);
    if (!isDrained) await eventOrTimeout(socket, 'drain', DRAIN_LIMIT);
    if (random.fraction() < 0.5) await sleep(random.integer(LONGEST_PAUSE));
  }
  finish(socket, end);
}

async function eventOrTimeout(
  socket: net.Socket,
  event: string,
  limit: Milliseconds,
): Promise<void> {
  await once(socket, event, { signal: AbortSignal.timeout(limit) }).catch(() => {});
}

function finish(socket: net.Socket, end: UploadEnd): void {
  if (end === 'closed in the middle' || end === 'closed before the answer') socket.destroy();
  if (end === 'reset in the middle') socket.resetAndDestroy();
  if (end === 'ended in the middle') socket.end();
  if (end === 'followed by other bytes') socket.write('bytes after the body\r\n\r\n');
}

/** A body that holds requests of its own, which nobody sent. */
function drawBody(random: RandomSource, id: string): Buffer {
  const size = SIZES[random.integer(SIZES.length)] ?? 0;
  const body = randomBytes(Math.floor(size * (0.5 + random.fraction())));
  const smuggled = `POST /look/x HTTP/1.1\r\nX-Wardwing-Request-Id: in-${id}\r\n\r\n`;
  if (body.length > smuggled.length) {
    body.write(smuggled, random.integer(body.length - smuggled.length));
    body.write(smuggled, body.length - smuggled.length);
  }
  return body;
}

function headOf(request: UploadedRequest, framing: readonly string[]): string {
  const lines = [
    `${request.method} ${request.path} HTTP/1.1`,
    'Host: h',
    `X-Wardwing-Request-Id: ${request.id}`,
    'X-Wardwing-Deadline-Ms: 600',
    ...DESCRIBING_HEADERS.map((name, index) => `${name}: ${request.described[index]}`),
    ...framing,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Parts of a body; the last is never empty unless the body is. */
function inPieces(body: Buffer, random: RandomSource): Buffer[] {
  const bounds = Array.from({ length: random.integer(MOST_PIECES) }, () =>
    random.integer(Math.max(1, body.length)),
  ).sort((left, right) => left - right);
  return [...bounds, body.length].map((bound, index) => {
    return body.subarray(bounds[index - 1] ?? 0, bound);
  });
}

/** The parts in chunked encoding; the last chunk is followed by a trailer that changes nothing. */
function inChunks(body: Buffer, random: RandomSource): Buffer[] {
  const chunks = inPieces(body, random)
    .filter((piece) => piece.length > 0)
    .map((piece) => {
      const head = Buffer.from(`${piece.length.toString(16)};extension=1\r\n`);
      return Buffer.concat([head, piece, Buffer.from('\r\n')]);
    });
  return [...chunks, Buffer.from(`0\r\n${DESCRIBING_HEADERS[0]}: trailed\r\n\r\n`)];
}
