/**
 * Answers of the OpenAI-compatible routes, with the member `wardwing` that names the weight
 * versions behind each range of tokens.
 */
import type { GenerationResult, TokenSegment } from '../core/generation.js';
import { HTTP_STATUS } from '../core/http-status.js';
import type { AnswerFormat, DocumentFormat, StreamFormat } from './answer-format.js';

/** Bytes of a prompt that are counted as one token: engines report no count of their own. */
const PROMPT_BYTES_PER_TOKEN = 4;

/** What is common to all events and documents of one answer. */
export interface AnswerHead {
  readonly id: string;
  /** Seconds since 1970. */
  readonly created: number;
  readonly model: string;
  readonly prompt: string;
}

/** What differs between completions and chat. */
export interface AnswerShape {
  readonly documentObject: string;
  readonly eventObject: string;
  /** The choice of a whole document. */
  documentChoice(text: string): object;
  /** The choice of one event. */
  eventChoice(text: string): object;
}

/** `POST /v1/completions`. */
export const COMPLETION_SHAPE: AnswerShape = {
  documentObject: 'text_completion',
  eventObject: 'text_completion',
  documentChoice: (text) => ({ text }),
  eventChoice: (text) => ({ text }),
};

/** `POST /v1/chat/completions`. */
export const CHAT_SHAPE: AnswerShape = {
  documentObject: 'chat.completion',
  eventObject: 'chat.completion.chunk',
  documentChoice: (text) => ({ message: { role: 'assistant', content: text } }),
  eventChoice: (text) => ({ delta: text === '' ? {} : { role: 'assistant', content: text } }),
};

/** One run of tokens as callers read it. */
export interface VersionRange {
  readonly version: number;
  readonly first_token: number;
  readonly token_count: number;
}

/** Segments as callers read them. */
export function versionRanges(segments: readonly TokenSegment[]): readonly VersionRange[] {
  return segments.map((segment) => ({
    version: segment.version,
    first_token: segment.firstToken,
    token_count: segment.tokenCount,
  }));
}

/** The format of an answer. */
export function generationFormat(
  shape: AnswerShape,
  head: AnswerHead,
  stream: boolean,
): AnswerFormat {
  return stream ? streamFormat(shape, head) : documentFormat(shape, head);
}

function documentFormat(shape: AnswerShape, head: AnswerHead): DocumentFormat {
  return {
    kind: 'document',
    render: (body) => {
      if (body.kind !== 'generated') return undefined;
      const choice = shape.documentChoice(body.result.text);
      const members = withChoice(shape.documentObject, head, choice, body.result.finishReason);
      return { status: HTTP_STATUS.ok, document: { ...members, ...closing(head, body.result) } };
    },
  };
}

function streamFormat(shape: AnswerShape, head: AnswerHead): StreamFormat {
  return {
    kind: 'stream',
    text: (text) => withChoice(shape.eventObject, head, shape.eventChoice(text), null),
    end: (result) => {
      const choice = shape.eventChoice('');
      const members = withChoice(shape.eventObject, head, choice, result.finishReason);
      return [{ ...members, ...closing(head, result) }];
    },
  };
}

function withChoice(
  object: string,
  head: AnswerHead,
  choice: object,
  finishReason: GenerationResult['finishReason'] | null,
): object {
  const { id, created, model } = head;
  const choices = [{ index: 0, ...choice, logprobs: null, finish_reason: finishReason }];
  return { id, object, created, model, choices };
}

function closing(head: AnswerHead, result: GenerationResult): object {
  const promptTokens = Math.ceil(Buffer.byteLength(head.prompt) / PROMPT_BYTES_PER_TOKEN);
  return {
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: result.tokenCount,
      total_tokens: promptTokens + result.tokenCount,
    },
    wardwing: { versions: versionRanges(result.segments) },
  };
}
