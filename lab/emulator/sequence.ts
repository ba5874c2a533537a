/**
 * One generation inside an emulated engine: how many tokens it has, which were streamed, and
 * which versions made them.
 */
import type {
  GenerationRequest,
  GenerationResult,
  PartialGeneration,
  TokenSegment,
} from '../../src/core/generation.js';
import type { TokenCount, WeightVersion } from '../../src/core/units.js';
import type { EngineEvent } from '../../src/platform/worker.js';
import { type AnswerLengthInput, answerLength } from './answer-length.js';
import { answerKey, segmentText, tokensOfText } from './generated-text.js';

/** Tokens already made for a request, exported by one engine and imported by another. */
export interface KeyValueCacheExport {
  /** See {@link answerKey}; an import for another request, or longer than the answer, is ignored. */
  readonly answer: number;
  readonly segments: readonly TokenSegment[];
}

/** A sequence that runs or waits. */
export class Sequence {
  readonly answer: number;
  /** Tokens the answer will have. */
  readonly target: TokenCount;
  /** Tokens made up to `joinedStep`; while running, each later step adds one. */
  tokens: TokenCount = 0;
  joinedStep = 0;
  /** Whether its prompt has been read, so that resuming costs nothing. */
  prefilled = false;
  /** Tokens made elsewhere that must be read before the first new one. */
  unreadTokens: TokenCount = 0;
  /** Tokens already streamed. */
  streamed: TokenCount = 0;
  private readonly cutOff: boolean;
  private readonly segments: TokenSegment[] = [];
  private text = '';

  constructor(
    readonly dispatchId: string,
    readonly request: GenerationRequest,
    lengths: Pick<AnswerLengthInput, 'medianTokens' | 'lengthSpread'>,
  ) {
    const { promptGroup, samplingSeed } = request;
    const length = answerLength({ promptGroup, samplingSeed, ...lengths });
    this.answer = answerKey(request.prompt, samplingSeed);
    this.cutOff = length > request.maxTokens;
    this.target = Math.min(length, request.maxTokens);
  }

  /** How many tokens are made and not streamed yet. */
  get unstreamed(): TokenCount {
    return this.tokens - this.streamed;
  }

  /** Streams all tokens not streamed yet; they were made by `version`. */
  stream(version: WeightVersion): EngineEvent | undefined {
    const tokenCount = this.unstreamed;
    if (tokenCount <= 0) return undefined;
    return this.append({ version, firstToken: this.streamed, tokenCount });
  }

  /** Takes over tokens made elsewhere, by an import of their cache or by reading them. */
  takeOver(cache: KeyValueCacheExport | undefined): EngineEvent[] {
    if (cache !== undefined) return this.import(cache);
    const { resume } = this.request;
    return resume === undefined ? [] : this.resume(resume);
  }

  /** Takes over tokens made elsewhere; returns the events that stream them. */
  import(source: KeyValueCacheExport): EngineEvent[] {
    const last = source.segments.at(-1);
    const count = last === undefined ? 0 : last.firstToken + last.tokenCount;
    if (source.answer !== this.answer || count > this.target) return [];
    this.prefilled = true;
    return source.segments.map((segment) => {
      this.tokens += segment.tokenCount;
      return this.append(segment);
    });
  }

  /**
   * Goes on after tokens made elsewhere whose cache is not at hand: they are streamed as given,
   * and must be read like a prompt. Does nothing where text and segments do not fit together.
   */
  private resume(partial: PartialGeneration): EngineEvent[] {
    const texts = tokensOfText(partial.text);
    const last = partial.segments.at(-1);
    const count = last === undefined ? 0 : last.firstToken + last.tokenCount;
    if (count !== texts.length || count > this.target) return [];
    this.tokens = count;
    this.unreadTokens = count;
    return partial.segments.map((segment) => {
      const end = segment.firstToken + segment.tokenCount;
      return this.append(segment, texts.slice(segment.firstToken, end).join(''));
    });
  }

  /** Tokens streamed so far, for an import elsewhere. */
  export(): KeyValueCacheExport {
    return { answer: this.answer, segments: [...this.segments] };
  }

  /** The complete answer. */
  result(): GenerationResult {
    return {
      text: this.text,
      tokenCount: this.streamed,
      segments: [...this.segments],
      finishReason: this.cutOff ? 'length' : 'stop',
    };
  }

  private append(
    segment: TokenSegment,
    text: string = segmentText(this.answer, segment),
  ): EngineEvent {
    this.text += text;
    this.streamed += segment.tokenCount;
    const last = this.segments.at(-1);
    if (last?.version === segment.version) {
      const tokenCount = last.tokenCount + segment.tokenCount;
      this.segments[this.segments.length - 1] = { ...last, tokenCount };
    } else {
      this.segments.push(segment);
    }
    return { kind: 'segment', segment, text };
  }
}
