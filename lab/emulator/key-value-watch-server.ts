/**
 * Watches of the emulated key-value service: one open request each, answered by JSON lines.
 */
import type http from 'node:http';
import type { KeyValueChange } from '../../src/platform/key-value.js';
import { encodeText } from '../../src/platform/key-value-wire-client.js';
import { readLines } from '../../src/platform/line-reader-client.js';
import type { KeyValueCore } from './key-value-core.js';
import { decodeRange, watchRequest } from './key-value-requests.js';

/** Longest line of a request. */
const MAXIMUM_LINE = 65_536;

interface Watch {
  readonly response: http.ServerResponse;
  prefix: string;
  /** First revision not yet sent; `undefined` before the watch was created. */
  next: number | undefined;
}

/** All open watches of one service. */
export class WatchServer {
  private readonly watches = new Set<Watch>();
  /** While false nothing is sent, as in an outage. */
  sending = true;

  constructor(private readonly core: KeyValueCore) {}

  /** Takes one watch request. */
  accept(request: http.IncomingMessage, response: http.ServerResponse): void {
    const watch: Watch = { response, prefix: '', next: undefined };
    this.watches.add(watch);
    response.on('close', () => this.watches.delete(watch));
    readLines(request, MAXIMUM_LINE, {
      line: (text) => this.takeLine(watch, text),
      tooLong: () => response.destroy(),
    });
  }

  /** Sends changes to all watches; to be called after each write. */
  sendChanges(): void {
    if (!this.sending) return;
    for (const watch of this.watches) this.sendTo(watch);
  }

  /** Breaks all watches. */
  breakAll(): void {
    for (const watch of this.watches) watch.response.destroy();
  }

  private takeLine(watch: Watch, text: string): void {
    if (text === '' || !this.sending) return;
    const parsed = watchRequest.safeParse(parse(text));
    if (!parsed.success) {
      watch.response.destroy();
    } else if ('create_request' in parsed.data) {
      const { start_revision: start, ...range } = parsed.data.create_request;
      watch.prefix = decodeRange(range).key;
      watch.next = start > 0 ? start : this.core.revision + 1;
      watch.response.writeHead(200, { 'content-type': 'application/json' });
      this.send(watch, { created: true });
      this.sendTo(watch);
    } else {
      this.sendTo(watch);
      this.send(watch, {});
    }
  }

  private sendTo(watch: Watch): void {
    if (watch.next === undefined) return;
    const event = this.core.changesSince(watch.prefix, watch.next);
    if (event.kind === 'lost') {
      this.send(watch, { canceled: true, compact_revision: String(watch.next + 1) });
      watch.response.end();
      watch.next = undefined;
      return;
    }
    watch.next = Math.max(watch.next, event.revision + 1);
    if (event.changes.length > 0) this.send(watch, { events: event.changes.map(encodeChange) });
  }

  private send(watch: Watch, content: Readonly<Record<string, unknown>>): void {
    const header = { revision: String(this.core.revision) };
    watch.response.write(`${JSON.stringify({ result: { header, ...content } })}\n`);
  }
}

function encodeChange(change: KeyValueChange): unknown {
  const key = encodeText(change.key);
  const mod_revision = String(change.modRevision);
  if (change.value === null) return { type: 'DELETE', kv: { key, mod_revision } };
  return { kv: { key, mod_revision, value: encodeText(change.value) } };
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
