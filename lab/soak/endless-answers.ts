/** Answers of a faulty worker: bytes without end, as far as a gateway can tell. */
import type http from 'node:http';
import type { Milliseconds } from '../../src/core/units.js';

/** What is sent without end, and under which head. */
interface EndlessAnswer {
  readonly status: number;
  readonly headers: http.OutgoingHttpHeaders;
  readonly piece: string | Buffer;
  /** Whether the body comes in chunks; else it has no length. */
  readonly isChunked: boolean;
}

const PIECE = Buffer.alloc(16_384, 'x');

/** Time between two pieces. */
const PIECE_INTERVAL: Milliseconds = 5;

/**
 * Time after which no more is sent, far beyond all limits of a gateway. A link that has fallen silent
 * takes bytes for good, at the cost of the store, which runs in the same process.
 */
const SENDING_TIME: Milliseconds = 8_000;

const EVENT_STREAM = { 'content-type': 'text/event-stream' };

/** The shapes of such answers. */
export const ENDLESS_ANSWERS: readonly EndlessAnswer[] = [
  { status: 200, headers: {}, piece: PIECE, isChunked: false },
  { status: 200, headers: {}, piece: PIECE, isChunked: true },
  { status: 200, headers: EVENT_STREAM, piece: ': comment\n\n', isChunked: true },
  { status: 200, headers: EVENT_STREAM, piece: 'data: x', isChunked: true },
  { status: 500, headers: {}, piece: PIECE, isChunked: false },
  { status: 503, headers: { 'x-wardwing-not-run': '1' }, piece: PIECE, isChunked: true },
];

/** Sends an answer until its connection is closed, or {@link SENDING_TIME} is over. */
export function sendWithoutEnd(
  response: http.ServerResponse,
  { status, headers, piece, isChunked }: EndlessAnswer,
  base: http.OutgoingHttpHeaders,
): void {
  response.useChunkedEncodingByDefault = isChunked;
  response.shouldKeepAlive = isChunked;
  response.on('error', () => {});
  response.writeHead(status, { ...base, ...headers });
  const endsAt = performance.now() + SENDING_TIME;
  const pump = (): void => {
    if (response.destroyed || performance.now() > endsAt) return;
    if (response.write(piece)) setTimeout(pump, PIECE_INTERVAL);
    else response.once('drain', pump);
  };
  pump();
}
