/**
 * A stream of server-sent events to one reader, bounded by what the reader has not yet taken.
 */
import type { ServerResponse } from 'node:http';
import { HTTP_STATUS } from '../core/http-status.js';
import type { Failure } from '../errors/error-kinds.js';
import { problemDocument } from './problem-document.js';

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };

/** Data of the event that ends a complete answer. */
const DONE = '[DONE]';

/** Writes events. The head is sent with the first one, so an early failure keeps its status. */
export class EventStream {
  readonly #response: ServerResponse;
  readonly #maxBufferBytes: number;

  constructor(response: ServerResponse, maxBufferBytes: number) {
    this.#response = response;
    this.#maxBufferBytes = maxBufferBytes;
  }

  /** Whether an event was written. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  /**
   * Writes one event. False when the reader has left more untaken than it may: the connection was
   * then closed. At most one event goes beyond the bound.
   */
  write(event: unknown): boolean {
    if (this.#response.writableLength > this.#maxBufferBytes) {
      this.#response.destroy();
      return false;
    }
    this.#writeEvent(event);
    return true;
  }

  /** Writes the last events of a complete answer. */
  end(events: readonly unknown[]): void {
    for (const event of events) this.#writeEvent(event);
    this.#writeText(`data: ${DONE}\n\n`);
    this.#response.end();
  }

  /** Ends an answer that failed midway, without the mark of a complete one. */
  fail(value: Failure): void {
    this.#writeText(`event: error\ndata: ${JSON.stringify(problemDocument(value))}\n\n`);
    this.#response.end();
  }

  #writeEvent(event: unknown): void {
    this.#writeText(`data: ${JSON.stringify(event)}\n\n`);
  }

  #writeText(text: string): void {
    if (this.#response.destroyed) return;
    if (!this.started) this.#response.writeHead(HTTP_STATUS.ok, STREAM_HEADERS);
    this.#response.write(text);
  }
}
