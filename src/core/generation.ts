/**
 * The unit of work an engine does, and what comes back from it. Shared by the gateway, the
 * dispatch modules and the engine client.
 */
import type { AccountName, IntentName, ModelName } from './identity.js';
import type { TokenCount, WeightVersion } from './units.js';

/** Traffic classes, most urgent first. Interactive work preempts training work. */
export type TrafficClass = 'interactive' | 'training';

/** One generation to be run on some worker. */
export interface GenerationRequest {
  /** Unique per logical request; the same across retries of one sample. */
  readonly requestId: string;
  readonly account: AccountName;
  readonly intent: IntentName;
  readonly model: ModelName;
  readonly trafficClass: TrafficClass;
  readonly prompt: string;
  readonly maxTokens: TokenCount;
  /** Seed handed to the engine's sampler. */
  readonly samplingSeed: number;
  /** False for a request that may run at most once, such as an order. */
  readonly repeatable: boolean;
  /** Oldest weight version that may produce a token; 0 where no bound applies. */
  readonly oldestVersion: WeightVersion;
  /** Samples of one prompt share a group, used for length prediction and prefix affinity. */
  readonly promptGroup: string;
  /** Tokens that another worker made already, to be gone on from. Absent: from the start. */
  readonly resume?: PartialGeneration;
}

/** The beginning of an answer whose generation ended early. */
export interface PartialGeneration {
  readonly text: string;
  /** Contiguous, in order, from token 0; they cover the text. */
  readonly segments: readonly TokenSegment[];
}

/** A run of tokens produced by one weight version. */
export interface TokenSegment {
  readonly version: WeightVersion;
  /** Index of the first token, counted from 0 at the start of the answer. */
  readonly firstToken: TokenCount;
  readonly tokenCount: TokenCount;
}

/** A complete answer of an engine. */
export interface GenerationResult {
  readonly text: string;
  readonly tokenCount: TokenCount;
  /** Contiguous, in order, covering all tokens. */
  readonly segments: readonly TokenSegment[];
  readonly finishReason: 'stop' | 'length';
}

/** The oldest weight version in an answer; `undefined` for an answer without tokens. */
export function oldestVersionOf(
  result: Pick<GenerationResult, 'segments'>,
): WeightVersion | undefined {
  if (result.segments.length === 0) return undefined;
  return Math.min(...result.segments.map((segment) => segment.version));
}
