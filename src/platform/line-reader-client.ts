/**
 * Splits a streamed answer into lines, for watches (JSON lines) and for server-sent events.
 */
import type { Readable } from 'node:stream';
import { StringDecoder } from 'node:string_decoder';

/** Takes lines without their end. */
export interface LineListener {
  line(text: string): void;
  /** A line grew beyond the limit; nothing more is read. */
  tooLong(): void;
}

/** Calls the listener for each line of a stream; a last line without an end is dropped. */
export function readLines(stream: Readable, maximumLength: number, listener: LineListener): void {
  const decoder = new StringDecoder('utf8');
  let rest = '';
  let ended = false;
  stream.on('data', (part: Buffer) => {
    if (ended) return;
    const lines = (rest + decoder.write(part)).split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) listener.line(line.endsWith('\r') ? line.slice(0, -1) : line);
    if (rest.length <= maximumLength) return;
    ended = true;
    listener.tooLong();
  });
}
