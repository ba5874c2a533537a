/**
 * What has arrived of an answer that is still made, so that the generation can go on on another
 * worker. Kept by the home node for what its engines report, and by the origin for what the home
 * passes on.
 */
import type { PartialGeneration, TokenSegment } from '../core/generation.js';
import type { Milliseconds, TokenCount, WeightVersion } from '../core/units.js';

/** Most characters kept of one answer; what comes later is made again after a loss. */
export const PARTIAL_TEXT_LIMIT = 256 * 1_024;
/** A home passes its part of an answer on to the origin after as many tokens, ... */
export const PROGRESS_TOKENS: TokenCount = 128;
/** ... or after this time, whichever comes first. */
export const PROGRESS_INTERVAL: Milliseconds = 2_000;

/** A run of tokens of one version with its text. */
export interface AnswerPart {
  readonly segment: TokenSegment;
  readonly text: string;
}

/** The beginning of one answer. */
export class PartialAnswer {
  private readonly parts: AnswerPart[] = [];
  /** Parts that arrived since the origin was told last. */
  private untold: AnswerPart[] = [];
  private untoldTokens: TokenCount = 0;
  private toldAt: Milliseconds;
  private textLength = 0;
  private full = false;
  private lastSegment: TokenSegment | undefined;
  private oldest: WeightVersion | undefined;

  constructor(now: Milliseconds) {
    this.toldAt = now;
  }

  /** The last run of tokens that was taken in; `undefined` before the first. */
  get last(): TokenSegment | undefined {
    return this.lastSegment;
  }

  /** Oldest version that made a token so far. */
  get oldestVersion(): WeightVersion | undefined {
    return this.oldest;
  }

  /** Takes in the next run of tokens; one that does not follow the last one is left out. */
  append(segment: TokenSegment, text: string): void {
    if (segment.firstToken !== nextTokenAfter(this.lastSegment)) return;
    this.lastSegment = segment;
    this.oldest = Math.min(this.oldest ?? segment.version, segment.version);
    this.full ||= this.textLength + text.length > PARTIAL_TEXT_LIMIT;
    if (this.full) return;
    this.textLength += text.length;
    pushMerged(this.parts, { segment, text });
    pushMerged(this.untold, { segment, text });
    this.untoldTokens += segment.tokenCount;
  }

  /** What is kept, to be resumed elsewhere; `null` while there is nothing. */
  partial(): PartialGeneration | null {
    if (this.parts.length === 0) return null;
    return {
      text: this.parts.map((part) => part.text).join(''),
      segments: this.parts.map((part) => part.segment),
    };
  }

  /** Parts the origin should be told of now; empty while that is not due. */
  takeProgress(now: Milliseconds): readonly AnswerPart[] {
    const isDue = this.untoldTokens >= PROGRESS_TOKENS || now - this.toldAt >= PROGRESS_INTERVAL;
    if (!isDue || this.untold.length === 0) return [];
    const taken = this.untold;
    this.untold = [];
    this.untoldTokens = 0;
    this.toldAt = now;
    return taken;
  }
}

/** How many tokens a partial answer has. */
export function tokensOf(partial: PartialGeneration | null): TokenCount {
  return nextTokenAfter(partial?.segments.at(-1));
}

/** The partial answer with more tokens; the first of two that are equally long. */
export function longerPartial(
  left: PartialGeneration | null,
  right: PartialGeneration | null,
): PartialGeneration | null {
  return tokensOf(right) > tokensOf(left) ? right : left;
}

function nextTokenAfter(segment: TokenSegment | undefined): TokenCount {
  return segment === undefined ? 0 : segment.firstToken + segment.tokenCount;
}

/** Adds a run of tokens, joined to the run before it where both are of one version. */
function pushMerged(parts: AnswerPart[], part: AnswerPart): void {
  const last = parts.at(-1);
  if (last === undefined || last.segment.version !== part.segment.version) {
    parts.push(part);
    return;
  }
  const tokenCount = last.segment.tokenCount + part.segment.tokenCount;
  const joined = { segment: { ...last.segment, tokenCount }, text: last.text + part.text };
  parts[parts.length - 1] = joined;
}
