/** Counts the tokens an emulated engine makes itself, over all lives of its process. */
import type { TrafficClass } from '../../src/core/generation.js';
import type { TokenCount } from '../../src/core/units.js';
import type { Sequence } from './sequence.js';

/** Tokens by traffic class; those taken over from another engine don't count. */
export class MadeTokens {
  private readonly counts: Record<TrafficClass, TokenCount> = { interactive: 0, training: 0 };

  /** Tokens made for a class. */
  of(trafficClass: TrafficClass): TokenCount {
    return this.counts[trafficClass];
  }

  /** To be called before the tokens of a sequence are streamed or lost. */
  count(sequence: Sequence | undefined): void {
    if (sequence !== undefined) this.counts[sequence.request.trafficClass] += sequence.unstreamed;
  }
}
