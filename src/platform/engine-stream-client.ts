/**
 * One generation on an engine: reads the server-sent events of a streaming completion and puts
 * the complete answer together.
 */
import http from 'node:http';
import type { GenerationRequest, TokenSegment } from '../core/generation.js';
import { HTTP_STATUS } from '../core/http-status.js';
import type { Milliseconds, TokenCount } from '../core/units.js';
import type { ExecutionState } from '../errors/error-kinds.js';
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

/** Prefix of a line that carries data in a stream of server-sent events. */
const DATA_PREFIX = 'data:';

/** Starts a generation; returns a function that cancels it without a further event. */
export function startGeneration(options: GenerationStreamOptions): () => void {
  const stream = new GenerationStream(options);
  stream.start();
  return () => stream.stop();
}

/** One streaming completion; its listener hears nothing after `finished`, `failed` or a stop. */
class GenerationStream {
  private readonly request: http.ClientRequest;
  private readonly answer: AnswerReader;
  private readonly silenceTimer: NodeJS.Timeout;
  /** Whether the engine may have seen the request. */
  private connected = false;
  private ended = false;

  constructor(private readonly options: GenerationStreamOptions) {
    const { agent, address, silenceLimit, maximumBytes } = options;
    const target = { agent, address, method: 'POST', path: '/v1/completions' } as const;
    this.request = http.request(requestOptions(target));
    this.answer = new AnswerReader(maximumBytes);
    this.silenceTimer = setTimeout(() => this.fail('the engine is silent'), silenceLimit);
  }

  /** Sends the request. */
  start(): void {
    onConnected(this.request, () => {
      this.connected = true;
    });
    this.request.on('error', (error) => this.fail(error.message));
    this.request.on('response', (response) => this.takeResponse(response));
    this.request.end(JSON.stringify(encodeGeneration(this.options.request)));
  }

  /** Ends the stream without a further event. */
  stop(): void {
    this.ended = true;
    clearTimeout(this.silenceTimer);
    this.request.destroy();
  }

  private takeResponse(response: http.IncomingMessage): void {
    const status = response.statusCode ?? 0;
    if (status !== HTTP_STATUS.ok) {
      response.resume();
      // An engine answers 503 only to work that it does not take in.
      const ran = status === HTTP_STATUS.serviceUnavailable ? 'no' : 'unknown';
      this.fail(`the engine answered ${status}`, ran);
      return;
    }
    readLines(response, this.options.maximumBytes, {
      line: (line) => this.takeLine(line),
      tooLong: () => this.fail('a line of the stream is too long'),
    });
    response.on('error', (error) => this.fail(error.message));
    response.on('close', () => this.fail('the stream ended early'));
  }

  private takeLine(line: string): void {
    if (this.ended || !line.startsWith(DATA_PREFIX)) return;
    this.silenceTimer.refresh();
    const event = this.answer.read(line.slice(DATA_PREFIX.length).trim());
    if (event === undefined) return;
    if (event.kind === 'failed') {
      this.fail(event.reason);
      return;
    }
    if (event.kind === 'finished') {
      this.ended = true;
      clearTimeout(this.silenceTimer);
    }
    this.options.listener(event);
  }

  private fail(reason: string, ran: ExecutionState = 'unknown'): void {
    if (this.ended) return;
    this.stop();
    this.options.listener({ kind: 'failed', ran: this.connected ? ran : 'no', reason });
  }
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
