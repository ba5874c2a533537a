/**
 * One generation on an engine: reads the server-sent events of a streaming completion and puts
 * the complete answer together.
 */
import http from 'node:http';
import type { GenerationRequest, TokenSegment } from '../core/generation.js';
import { HTTP_STATUS } from '../core/http-status.js';
import type { Milliseconds, TokenCount } from '../core/units.js';
import type { RanState } from '../errors/error-kinds.js';
import { completionChunk, encodeGeneration } from './engine-wire-client.js';
import { onConnected, parseJson, requestOptions } from './http-exchange-client.js';
import { readLines } from './line-reader-client.js';
import type { EngineEvent } from './worker.js';

/** What a generation needs. */
export interface GenerationStreamOptions {
  readonly agent: http.Agent;
  readonly address: string;
  readonly request: GenerationRequest;
  readonly silenceLimit: Milliseconds;
  /** Longest line and longest whole text, in characters. */
  readonly maximumBytes: number;
  readonly listener: (event: EngineEvent) => void;
}

/** Starts a generation; returns a function that cancels it without a further event. */
export function startGeneration(options: GenerationStreamOptions): () => void {
  const { agent, address } = options;
  const request = http.request(
    requestOptions({ agent, address, method: 'POST', path: '/v1/completions' }),
  );
  const answer = new AnswerReader(options.maximumBytes);
  let connected = false;
  let ended = false;
  const stop = (): void => {
    ended = true;
    clearTimeout(timer);
    request.destroy();
  };
  const fail = (reason: string, ran: RanState = 'unknown'): void => {
    if (ended) return;
    stop();
    options.listener({ kind: 'failed', ran: connected ? ran : 'no', reason });
  };
  const timer = setTimeout(() => fail('the engine is silent'), options.silenceLimit);
  const takeLine = (line: string): void => {
    if (ended || !line.startsWith('data:')) return;
    timer.refresh();
    const event = answer.read(line.slice('data:'.length).trim());
    if (event?.kind === 'failed') {
      fail(event.reason);
      return;
    }
    if (event?.kind === 'finished') {
      ended = true;
      clearTimeout(timer);
    }
    if (event !== undefined) options.listener(event);
  };
  onConnected(request, () => {
    connected = true;
  });
  request.on('error', (error) => fail(error.message));
  request.on('response', (response) => {
    const status = response.statusCode ?? 0;
    if (status !== HTTP_STATUS.ok) {
      response.resume();
      // An engine answers 503 only to work that it does not take in.
      const ran = status === HTTP_STATUS.serviceUnavailable ? 'no' : 'unknown';
      fail(`the engine answered ${status}`, ran);
      return;
    }
    readLines(response, options.maximumBytes, {
      line: takeLine,
      tooLong: () => fail('a line of the stream is too long'),
    });
    response.on('error', (error) => fail(error.message));
    response.on('close', () => fail('the stream ended early'));
  });
  request.end(JSON.stringify(encodeGeneration(options.request)));
  return stop;
}

/** Puts an answer together from the events of its stream. */
class AnswerReader {
  private readonly segments: TokenSegment[] = [];
  private text = '';
  private tokenCount: TokenCount = 0;
  private finishReason: 'stop' | 'length' | null = null;

  constructor(private readonly maximumLength: number) {}

  /** Reads the data of one event. */
  read(data: string): EngineEvent | undefined {
    if (data === '[DONE]') return this.finish();
    const chunk = completionChunk.safeParse(parseJson(data));
    const choice = chunk.data?.choices[0];
    if (choice === undefined) return failed('an event of the stream breaks the schema');
    this.finishReason = choice.finish_reason ?? this.finishReason;
    const segment = chunk.data?.wardwing.segment ?? null;
    if (segment === null) {
      return choice.text === '' ? undefined : failed('text without a version');
    }
    return this.append(segment, choice.text);
  }

  private append(segment: TokenSegment, text: string): EngineEvent {
    if (segment.firstToken !== this.tokenCount) return failed('the tokens have a gap');
    this.tokenCount += segment.tokenCount;
    this.text += text;
    if (this.text.length > this.maximumLength) return failed('the answer is too long');
    const last = this.segments.at(-1);
    if (last?.version === segment.version) {
      const tokenCount = last.tokenCount + segment.tokenCount;
      this.segments[this.segments.length - 1] = { ...last, tokenCount };
    } else {
      this.segments.push(segment);
    }
    return { kind: 'segment', segment, text };
  }

  private finish(): EngineEvent {
    const { text, tokenCount, segments, finishReason } = this;
    if (finishReason === null) return failed('the stream ended without a reason');
    return { kind: 'finished', result: { text, tokenCount, segments, finishReason } };
  }
}

function failed(reason: string): EngineEvent {
  return { kind: 'failed', ran: 'unknown', reason };
}
