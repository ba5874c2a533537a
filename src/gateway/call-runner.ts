/**
 * Runs one call: gives it to the node, answers its replies, and abandons it when its caller goes
 * away, reads too slowly, or gets no answer by the deadline.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { defer, type Observable, Subscription } from 'rxjs';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { CallReply, ReplyBody } from '../node/calls.js';
import { type StreamFormat, unexpectedReply } from './answer-format.js';
import type { CallHandler } from './call-handler.js';
import { EventStream } from './event-stream.js';
import type { GatewayLimits } from './gateway-options.js';
import { writeDocument, writeProblem } from './response-writer.js';
import type { PreparedCall } from './route-table.js';
import { StreamedText } from './stream-text.js';

/** How a call ended. */
export type CallOutcome =
  | { readonly kind: 'answered' }
  | { readonly kind: 'failed'; readonly failure: Failure }
  | { readonly kind: 'abandoned'; readonly cause: 'caller-left' | 'reader-too-slow' };

/** The two ends of one exchange. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Runs a call to its end. */
export function runCall(
  handler: CallHandler,
  limits: GatewayLimits,
  prepared: PreparedCall,
  exchange: Exchange,
): Promise<CallOutcome> {
  return new Promise((resolve) => {
    new CallRun(handler, limits, prepared, exchange, resolve).start();
  });
}

class CallRun {
  readonly #handler: CallHandler;
  readonly #limits: GatewayLimits;
  readonly #prepared: PreparedCall;
  readonly #exchange: Exchange;
  readonly #resolve: (outcome: CallOutcome) => void;
  readonly #subscription = new Subscription();
  readonly #events: EventStream;
  readonly #streamed = new StreamedText();
  #ended = false;

  constructor(
    handler: CallHandler,
    limits: GatewayLimits,
    prepared: PreparedCall,
    exchange: Exchange,
    resolve: (outcome: CallOutcome) => void,
  ) {
    this.#handler = handler;
    this.#limits = limits;
    this.#prepared = prepared;
    this.#exchange = exchange;
    this.#resolve = resolve;
    this.#events = new EventStream(exchange.response, limits.maxStreamBufferBytes);
  }

  /** Submits the call, unless its caller has already gone. */
  start(): void {
    const { response } = this.#exchange;
    if (response.destroyed) {
      this.#end({ kind: 'abandoned', cause: 'caller-left' });
      return;
    }
    const onClose = (): void => this.#end({ kind: 'abandoned', cause: 'caller-left' });
    response.once('close', onClose);
    this.#subscription.add(() => response.off('close', onClose));
    this.#startTimer();
    this.#subscription.add(
      this.#replies().subscribe({
        next: (reply) => this.#answer(reply),
        error: () => this.#fail(failure('internal', 'the call ended with a fault')),
        complete: () => this.#fail(failure('internal', 'the call ended without an answer')),
      }),
    );
  }

  #replies(): Observable<CallReply> {
    return defer(() => this.#handler.submit(this.#prepared.call));
  }

  #startTimer(): void {
    const left = this.#prepared.deadline - this.#handler.now() + this.#limits.deadlineGrace;
    const onDeadline = (): void => this.#fail(failure('deadline_exceeded', 'no answer came'));
    const timer = setTimeout(onDeadline, left);
    this.#subscription.add(() => clearTimeout(timer));
  }

  #answer(reply: CallReply): void {
    try {
      this.#onReply(reply);
    } catch {
      this.#fail(failure('internal', 'the reply could not be written'));
    }
  }

  #onReply(reply: CallReply): void {
    if (this.#ended) return;
    if (reply.kind === 'failed') this.#fail(reply.failure);
    else if (reply.kind === 'done') this.#finish(reply.body);
    else if (this.#prepared.format.kind === 'stream') {
      this.#sendText(this.#prepared.format, reply.text);
    }
  }

  #finish(body: ReplyBody): void {
    const { format } = this.#prepared;
    if (format.kind === 'stream') {
      this.#finishStream(format, body);
      return;
    }
    const answer = format.render(body);
    if (answer === undefined) {
      this.#fail(unexpectedReply());
      return;
    }
    writeDocument(this.#exchange.response, answer);
    this.#end({ kind: 'answered' });
  }

  #finishStream(format: StreamFormat, body: ReplyBody): void {
    if (body.kind !== 'generated') {
      this.#fail(unexpectedReply());
      return;
    }
    const missing = this.#streamed.missingOf(body.result.text);
    if (missing === undefined) {
      this.#fail(failure('internal', 'the streamed text differs from the final one'));
      return;
    }
    this.#end({ kind: 'answered' });
    const rest = missing === '' ? [] : [format.text(missing)];
    this.#events.end([...rest, ...format.end(body.result)]);
  }

  #sendText(format: StreamFormat, text: string): void {
    this.#streamed.add(text);
    if (this.#events.write(format.text(text))) return;
    this.#end({ kind: 'abandoned', cause: 'reader-too-slow' });
  }

  #fail(value: Failure): void {
    if (this.#ended) return;
    this.#end({ kind: 'failed', failure: value });
    const { request, response } = this.#exchange;
    if (this.#events.started) this.#events.fail(value);
    else writeProblem(request, response, value, this.#limits.lingerTime);
  }

  #end(outcome: CallOutcome): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#subscription.unsubscribe();
    this.#resolve(outcome);
  }
}
