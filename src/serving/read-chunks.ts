/**
 * Reads streams by their events, which is cheaper than async iteration with its promises and abort
 * signal for each stream.
 */
import type { Readable } from 'node:stream';
import { GrowingBuffer } from '../limits/growing-buffer.js';
import type { MemoryHolding } from '../limits/memory-budget.js';

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

/** Most chunks of one stream, as each takes time, and a peer may send bytes one by one without end. */
const MAX_CHUNKS = 65_536;

export interface ReadOptions {
  /** Counts the bytes. @default not counted */
  readonly holding?: MemoryHolding | undefined;
  /** Announced length in bytes. @default not announced */
  readonly expectedLength?: number | undefined;
}

/**
 * Reads a whole stream. Resolves to `undefined` if it broke, has more than `limit` bytes, comes in more
 * than {@link MAX_CHUNKS} chunks or exceeds what `holding` may hold; the rest of such a stream is left
 * unread. The bytes stay counted.
 */
export async function readAll(
  stream: Readable,
  limit: number,
  { holding, expectedLength = 0 }: ReadOptions = {},
): Promise<Buffer | undefined> {
  const content = new GrowingBuffer(limit, expectedLength);
  let chunks = 0;
  const end = await readChunks(stream, (chunk) => {
    chunks += 1;
    const growth = content.capacityWith(chunk.length) - content.capacity;
    const isWithinLimit = content.length + chunk.length <= limit && chunks <= MAX_CHUNKS;
    if (!isWithinLimit || holding?.grow(growth) === false) return false;
    content.append(chunk);
    return true;
  });
  if (end === 'ended') return content.toBuffer();
  holding?.shrink(content.capacity);
  return undefined;
}
