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
  const { agent, address } = options;
  const request = http.request(
    requestOptions({ agent, address, method: 'POST', path: '/v3/watch' }),
  );
  let ended = false;
  const stop = (): void => {
    ended = true;
    clearInterval(progressTimer);
    clearTimeout(silenceTimer);
    request.destroy();
  };
  const lose = (compacted: boolean): void => {
    if (ended) return;
    stop();
    options.listener({ kind: 'lost', compacted });
  };
  const loseConnection = (): void => lose(false);
  const silenceTimer = setTimeout(loseConnection, options.watchSilenceLimit);
  const progressTimer = setInterval(() => {
    request.write(`${JSON.stringify({ progress_request: {} })}\n`);
  }, options.progressInterval);
  const takeLine = (text: string): void => {
    if (ended || text === '') return;
    silenceTimer.refresh();
    const event = eventOf(text);
    if (event?.kind === 'lost') lose(event.compacted);
    else if (event !== undefined) options.listener(event);
  };
  request.on('error', loseConnection);
  request.on('response', (response) => {
    if (response.statusCode !== HTTP_STATUS.ok) {
      loseConnection();
      return;
    }
    readLines(response, options.maximumBytes, { line: takeLine, tooLong: loseConnection });
    response.on('error', loseConnection);
    response.on('close', loseConnection);
  });
  request.write(`${createRequest(options)}\n`);
  return stop;
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
