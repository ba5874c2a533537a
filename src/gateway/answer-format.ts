/**
 * How a call's replies become an HTTP answer: one JSON document, or a stream of server-sent
 * events.
 */
import type { GenerationResult } from '../core/generation.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { ReplyBody } from '../node/calls.js';

/** A JSON document as an answer. */
export interface DocumentAnswer {
  readonly status: number;
  readonly document: unknown;
}

/** Events of a stream; each is sent as JSON in one `data:` line. */
export interface StreamFormat {
  readonly kind: 'stream';
  /** The event that carries a piece of text. */
  text(text: string): unknown;
  /** The events that end a complete answer, before `[DONE]`. */
  end(result: GenerationResult): readonly unknown[];
}

/** One JSON document. */
export interface DocumentFormat {
  readonly kind: 'document';
  /** The answer; `undefined` where the reply is not one this route can have. */
  render(body: ReplyBody): DocumentAnswer | undefined;
}

/** How replies are answered. */
export type AnswerFormat = StreamFormat | DocumentFormat;

/** The failure of a reply that the route cannot have. */
export function unexpectedReply(): Failure {
  return failure('internal', 'the node gave a reply of another kind');
}
