/** Answers of a faulty worker: bytes without end, until the gateway closes the connection. */
import type http from 'node:http';

/** What is sent without end, and under which head. */
interface EndlessAnswer {
  readonly status: number;
  readonly headers: http.OutgoingHttpHeaders;
  readonly piece: string | Buffer;
  /** Whether the body comes in chunks; else it has no length. */
  readonly isChunked: boolean;
}

const PIECE = Buffer.alloc(65_536, 'x');
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

/** Sends an answer until its connection is closed. */
export function sendWithoutEnd(
  response: http.ServerResponse,
  { status, headers, piece, isChunked }: EndlessAnswer,
  base: http.OutgoingHttpHeaders,
): void {
  response.useChunkedEncodingByDefault = isChunked;
  response.shouldKeepAlive = isChunked;
  response.on('error', () => {});
  response.writeHead(status, { ...base, ...headers });
  const pump = (): void => {
    if (response.destroyed) return;
    if (response.write(piece)) setTimeout(pump, 1);
    else response.once('drain', pump);
  };
  pump();
}
