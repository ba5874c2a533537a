/**
 * Puts the segments of one streamed answer in order. Messages between nodes may be lost, doubled
 * or overtake each other; a caller's stream must not show it.
 */
import type { GenerationResult, TokenSegment } from '../core/generation.js';
import type { TokenCount } from '../core/units.js';

/** Takes a segment that is next in order. */
export type SegmentReceiver = (segment: TokenSegment, text: string) => void;

interface WaitingSegment {
  readonly segment: TokenSegment;
  readonly text: string;
}

/** One answer's segments on their way to its caller. */
export class SegmentSequence {
  private nextToken: TokenCount = 0;
  private passedLength = 0;
  /** Segments that came too early, by first token. */
  private readonly waiting = new Map<TokenCount, WaitingSegment>();

  constructor(private readonly receiver: SegmentReceiver) {}

  /** Whether some of the answer has been passed on. */
  get hasPassed(): boolean {
    return this.nextToken > 0;
  }

  /** Takes in a segment: passes it on when it is next, keeps it when it is early. */
  accept(segment: TokenSegment, text: string): void {
    if (segment.firstToken < this.nextToken) return;
    this.waiting.set(segment.firstToken, { segment, text });
    for (;;) {
      const next = this.waiting.get(this.nextToken);
      if (next === undefined) return;
      this.waiting.delete(this.nextToken);
      if (next.segment.tokenCount === 0) return;
      this.pass(next.segment, next.text);
    }
  }

  /**
   * Passes on what the whole answer has beyond the segments that arrived. Where that part was made
   * by several versions its text goes with the first of them; the answer itself names all.
   */
  complete(result: GenerationResult): void {
    this.waiting.clear();
    let text = result.text.slice(this.passedLength);
    for (const segment of result.segments) {
      const rest = restOf(segment, this.nextToken);
      if (rest === null) continue;
      this.pass(rest, text);
      text = '';
    }
  }

  private pass(segment: TokenSegment, text: string): void {
    this.nextToken = segment.firstToken + segment.tokenCount;
    this.passedLength += text.length;
    this.receiver(segment, text);
  }
}

/** The part of a segment from a token on; `null` where nothing is left of it. */
function restOf(segment: TokenSegment, firstToken: TokenCount): TokenSegment | null {
  const end = segment.firstToken + segment.tokenCount;
  if (end <= firstToken) return null;
  const start = Math.max(segment.firstToken, firstToken);
  return { version: segment.version, firstToken: start, tokenCount: end - start };
}
