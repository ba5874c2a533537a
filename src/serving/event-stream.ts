/**
 * Parses server-sent events from chunks of bytes; incomplete events are buffered and never
 * returned.
 */
import { KIBIBYTE, type WeightVersion } from '../core/units.js';

/** One complete event. */
export interface StreamEvent {
  /** Number of the event; `undefined` where it has none. */
  readonly id: number | undefined;
  /** Data lines, joined by line feeds. */
  readonly data: string;
  /** Weight version from this event on; `undefined` where the event reports no change. */
  readonly weightVersion: WeightVersion | undefined;
  /** The bytes of the event, with the blank line that ends it. */
  readonly raw: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Limits of one event; a longer one, or one in more chunks, makes the stream malformed. */
const MAX_EVENT_BYTES = 256 * KIBIBYTE;
const MAX_CHUNKS_PER_EVENT = 4_096;

export class EventStreamReader {
  /** The chunks of an incomplete event. */
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;

  /** `versionField` is the field that reports a change of weights, in lower case. */
  constructor(private readonly versionField: string) {}

  /** Appends bytes and returns the events that are now complete; throws if one is malformed. */
  push(chunk: Buffer): StreamEvent[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const events = chunk.includes(LINE_FEED) ? this.takeEvents() : [];
    if (this.bufferedBytes > MAX_EVENT_BYTES || this.chunks.length > MAX_CHUNKS_PER_EVENT) {
      throw new Error(
        `an event has over ${MAX_EVENT_BYTES} bytes or comes in over ${MAX_CHUNKS_PER_EVENT} chunks`,
      );
    }
    return events;
  }

  /** Removes the complete events from what is buffered. */
  private takeEvents(): StreamEvent[] {
    const bytes = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    if (bytes === undefined) return [];
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, start); end > 0; end = endOfEvent(bytes, start)) {
      const event = this.parse(bytes.subarray(start, end));
      if (event !== undefined) events.push(event);
      start = end;
    }
    if (start === 0) return events;
    const rest = bytes.subarray(start);
    this.chunks = rest.length === 0 ? [] : [rest];
    this.bufferedBytes = rest.length;
    return events;
  }

  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean {
    return this.bufferedBytes > 0;
  }

  private parse(raw: Buffer): StreamEvent | undefined {
    const data: string[] = [];
    let id: number | undefined;
    let weightVersion: WeightVersion | undefined;
    for (const line of raw.toString('utf8').split(/\r?\n/)) {
      const colon = line.indexOf(':');
      if (colon <= 0) continue;
      const field = line.slice(0, colon).toLowerCase();
      const value = line.slice(colon + 1).replace(/^ /, '');
      if (field === 'data') data.push(value);
      else if (field === 'id') id = wholeNumberIn(value);
      else if (field === this.versionField) weightVersion = wholeNumberIn(value);
    }
    if (data.length === 0 && id === undefined) return undefined;
    return { id, data: data.join('\n'), weightVersion, raw };
  }
}

/** Throws if the value of a field is not a whole number, as the stream is malformed then. */
function wholeNumberIn(value: string): number {
  const number = value.trim() === '' ? Number.NaN : Number(value);
  if (!Number.isSafeInteger(number) || number < 0) throw new Error('malformed number in an event');
  return number;
}

/** Index after the blank line that ends the event at `start`; 0 where the event is incomplete. */
function endOfEvent(bytes: Buffer, start: number): number {
  let index = bytes.indexOf(LINE_FEED, start);
  while (index >= 0) {
    let next = index + 1;
    if (bytes[next] === CARRIAGE_RETURN) next += 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    index = bytes.indexOf(LINE_FEED, index + 1);
  }
  return 0;
}
