/**
 * Parses server-sent events from chunks of bytes; incomplete events are buffered and never
 * returned.
 */
import type { WeightVersion } from '../core/units.js';

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

export class EventStreamReader {
  private buffered: Buffer = Buffer.alloc(0);

  /** `versionField` is the field that reports a change of weights, in lower case. */
  constructor(private readonly versionField: string) {}

  /** Appends bytes and returns the events that are now complete; throws if one is malformed. */
  push(chunk: Buffer): StreamEvent[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (
      let end = endOfEvent(this.buffered, start);
      end > 0;
      end = endOfEvent(this.buffered, start)
    ) {
      const event = this.parse(this.buffered.subarray(start, end));
      if (event !== undefined) events.push(event);
      start = end;
    }
    this.buffered = this.buffered.subarray(start);
    return events;
  }

  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean {
    return this.buffered.length > 0;
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
