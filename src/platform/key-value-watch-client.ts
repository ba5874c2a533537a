/**
 * One watch on the key-value service. The request's body stays open: the client asks for
 * progress on it, so that a watch without changes still confirms how far it has seen.
 */
import http from 'node:http';
import { HTTP_STATUS } from '../core/http-status.js';
import type { Milliseconds, Revision } from '../core/units.js';
import { parseJson, requestOptions } from './http-exchange-client.js';
import type { KeyValueWatchEvent } from './key-value.js';
import { decodeChanges, encodeRange, watchLine } from './key-value-wire-client.js';
import { readLines } from './line-reader-client.js';

/** What a watch needs. */
export interface WatchOptions {
  readonly agent: http.Agent;
  readonly address: string;
  readonly prefix: string;
  readonly fromRevision: Revision;
  readonly progressInterval: Milliseconds;
  readonly watchSilenceLimit: Milliseconds;
  /** Longest line, in characters. */
  readonly maximumBytes: number;
  readonly listener: (event: KeyValueWatchEvent) => void;
}

/** Starts a watch; returns a function that ends it without a further event. */
export function startWatch(options: WatchOptions): () => void {
  const watch = new Watch(options);
  watch.start();
  return () => watch.stop();
}

/** One open watch; its listener hears nothing after `lost` or a stop. */
class Watch {
  private readonly request: http.ClientRequest;
  private readonly silenceTimer: NodeJS.Timeout;
  private readonly progressTimer: NodeJS.Timeout;
  private ended = false;

  constructor(private readonly options: WatchOptions) {
    const { agent, address, watchSilenceLimit, progressInterval } = options;
    const target = { agent, address, method: 'POST', path: '/v3/watch' } as const;
    this.request = http.request(requestOptions(target));
    this.silenceTimer = setTimeout(() => this.lose(false), watchSilenceLimit);
    this.progressTimer = setInterval(() => this.askProgress(), progressInterval);
  }

  /** Sends the request that creates the watch; its body stays open. */
  start(): void {
    this.request.on('error', () => this.lose(false));
    this.request.on('response', (response) => this.takeResponse(response));
    this.request.write(`${createRequest(this.options)}\n`);
  }

  /** Ends the watch without a further event. */
  stop(): void {
    this.ended = true;
    clearInterval(this.progressTimer);
    clearTimeout(this.silenceTimer);
    this.request.destroy();
  }

  private askProgress(): void {
    this.request.write(`${JSON.stringify({ progress_request: {} })}\n`);
  }

  private takeResponse(response: http.IncomingMessage): void {
    if (response.statusCode !== HTTP_STATUS.ok) {
      this.lose(false);
      return;
    }
    readLines(response, this.options.maximumBytes, {
      line: (text) => this.takeLine(text),
      tooLong: () => this.lose(false),
    });
    response.on('error', () => this.lose(false));
    response.on('close', () => this.lose(false));
  }

  private takeLine(text: string): void {
    if (this.ended || text === '') return;
    this.silenceTimer.refresh();
    const event = eventOf(text);
    if (event?.kind === 'lost') this.lose(event.compacted);
    else if (event !== undefined) this.options.listener(event);
  }

  private lose(compacted: boolean): void {
    if (this.ended) return;
    this.stop();
    this.options.listener({ kind: 'lost', compacted });
  }
}

function createRequest(options: WatchOptions): string {
  return JSON.stringify({
    create_request: {
      ...encodeRange(options.prefix, true),
      start_revision: String(options.fromRevision),
      progress_notify: true,
    },
  });
}

/** The event in a line; `undefined` for the confirmation that the watch was created. */
function eventOf(text: string): KeyValueWatchEvent | undefined {
  const line = watchLine.safeParse(parseJson(text));
  if (!line.success) return { kind: 'lost', compacted: false };
  const { result } = line.data;
  if (result.canceled) return { kind: 'lost', compacted: result.compact_revision > 0 };
  if (result.created && result.events.length === 0) return undefined;
  const changes = decodeChanges(line.data);
  // The header of a line with changes may be ahead of changes still to come, so their own
  // revision is what has been seen.
  const seen = changes.at(-1)?.modRevision;
  return { kind: 'changes', revision: seen ?? result.header.revision, changes };
}
