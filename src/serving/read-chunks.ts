/**
 * Reads streams by their events, which is cheaper than async iteration with its promises and abort
 * signal for each stream.
 */
import type { Readable } from 'node:stream';

/** How reading a stream ended. */
export type StreamEnd =
  | 'ended'
  /** The reader stopped. */
  | 'stopped'
  /** The stream failed or closed before its end. */
  | 'broken';

/**
 * Calls `onChunk` until the stream ends or breaks, or the callback returns false; never rejects.
 */
export function readChunks(
  stream: Readable,
  onChunk: (chunk: Buffer) => boolean,
): Promise<StreamEnd> {
  return new Promise((resolve) => {
    const finish = (end: StreamEnd): void => {
      stream.off('data', onData);
      resolve(end);
    };
    const onData = (chunk: Buffer): void => {
      if (!onChunk(chunk)) finish('stopped');
    };
    stream.on('data', onData);
    stream.once('end', () => finish('ended'));
    stream.on('error', () => finish('broken'));
    stream.once('close', () => finish('broken'));
    if (stream.destroyed) finish('broken');
  });
}

/** Most chunks of one stream that are held, as each takes memory beside its bytes. */
const MAX_CHUNKS = 65_536;

/**
 * Reads a whole stream; `undefined` where it broke, has more than `limit` bytes or comes in more than
 * {@link MAX_CHUNKS} chunks. The rest of such a stream is left unread.
 */
export async function readAll(stream: Readable, limit: number): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const end = await readChunks(stream, (chunk) => {
    bytes += chunk.length;
    chunks.push(chunk);
    return bytes <= limit && chunks.length <= MAX_CHUNKS;
  });
  return end === 'ended' ? Buffer.concat(chunks) : undefined;
}
