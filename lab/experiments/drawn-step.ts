/** One step of a trainer while it is drawn: its samples, and the attempts that run for them. */
import type {
  GenerationRequest,
  GenerationResult,
  TokenSegment,
} from '../../src/core/generation.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { TableCandidate } from './candidate-table.js';

/** One attempt to produce a sample. */
export interface Attempt {
  readonly dispatchId: string;
  readonly sample: DrawnSample;
  readonly candidate: TableCandidate;
  readonly startedAt: Milliseconds;
  /** When its engine last said something of it. */
  heardAt: Milliseconds;
  segments: TokenSegment[];
  /** Tokens streamed, taken-over ones included. */
  tokens: number;
  /** Tokens taken over from an earlier attempt. */
  readonly resumedTokens: number;
}

/** One sample. */
export interface DrawnSample {
  readonly step: DrawnStep;
  readonly request: GenerationRequest;
  readonly attempts: Set<Attempt>;
  result: GenerationResult | undefined;
  /** Segments of a lost attempt, to go on from. */
  lost: readonly TokenSegment[];
  /** Not dispatched again before then. */
  retryAt: Milliseconds;
}

/** One step. */
export interface DrawnStep {
  readonly index: number;
  /** Oldest version that may produce a token of it. */
  readonly oldestVersion: WeightVersion;
  readonly submittedAt: Milliseconds;
  readonly samples: DrawnSample[];
  /** Samples that wait to be dispatched, in order. */
  pending: DrawnSample[];
  /** When the pending samples were last sorted. */
  sortedAt: Milliseconds;
  missing: number;
  hedgesMade: number;
  /** Whether it holds its slots; used by the gang variant. */
  started: boolean;
  completedAt: Milliseconds | undefined;
  readonly durations: Milliseconds[];
}

/** Total tokens of segments. */
export function tokensOf(segments: readonly TokenSegment[]): number {
  return segments.reduce((sum, segment) => sum + segment.tokenCount, 0);
}

/** Adds a segment, joined to the last one where the version is the same. */
export function appendSegment(segments: TokenSegment[], segment: TokenSegment): void {
  const last = segments.at(-1);
  if (last?.version !== segment.version) {
    segments.push(segment);
    return;
  }
  const tokenCount = last.tokenCount + segment.tokenCount;
  segments[segments.length - 1] = { ...last, tokenCount };
}
