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
  private passedText = '';
  private readonly passedSegments: TokenSegment[] = [];
  /** Segments that came too early, by first token. */
  private readonly waiting = new Map<TokenCount, WaitingSegment>();

  /** @param ordered off only in the lab: segments are then passed on as they come. */
  constructor(
    private readonly receiver: SegmentReceiver,
    private readonly ordered: boolean = true,
  ) {}

  /** Whether some of the answer has been passed on. */
  get hasPassed(): boolean {
    return this.nextToken > 0;
  }

  /** What has been passed on so far, in the form of an answer. */
  get passed(): GenerationResult {
    const text = this.passedText;
    const segments = this.passedSegments;
    return { text, segments, tokenCount: this.nextToken, finishReason: 'stop' };
  }

  /** Takes in a segment: passes it on when it is next, keeps it when it is early. */
  accept(segment: TokenSegment, text: string): void {
    if (!this.ordered) {
      this.pass(segment, text);
      return;
    }
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
    if (!this.ordered) return;
    this.waiting.clear();
    let text = result.text.slice(this.passedText.length);
    for (const segment of result.segments) {
      const rest = restOf(segment, this.nextToken);
      if (rest === null) continue;
      this.pass(rest, text);
      text = '';
    }
  }

  private pass(segment: TokenSegment, text: string): void {
    this.nextToken = segment.firstToken + segment.tokenCount;
    this.passedText += text;
    this.passedSegments.push(segment);
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
