/**
 * How fast and how large an emulated engine is. The defaults resemble one mid-size accelerator
 * and are the lab's own choice, as no step times are given by the platform.
 */
import type { WorkerId } from '../../src/core/identity.js';
import type { Milliseconds, TokenCount, WeightVersion } from '../../src/core/units.js';

/** Settings of one emulated engine. */
export interface EngineSettings {
  readonly worker: WorkerId;
  /** Sequences decoded together. */
  readonly slots: number;
  /** Sequences of one traffic class that may wait; beyond it a start is refused. */
  readonly queueLimit: number;
  /** Time of a decode step with an empty batch. */
  readonly baseStepTime: Milliseconds;
  /** Added to a decode step by each sequence of the batch. */
  readonly stepTimePerSequence: Milliseconds;
  /** Time to read one prompt token that is not in the prefix cache; stalls the batch. */
  readonly prefillTimePerToken: Milliseconds;
  /** Tokens between two `segment` events of one answer. */
  readonly chunkTokens: TokenCount;
  /** Room of the prefix cache. */
  readonly prefixCacheTokens: TokenCount;
  /** Median length of answers before `maxTokens` cuts them off. */
  readonly medianTokens: TokenCount;
  /** Standard deviation of the logarithm of the length; larger means a longer tail. */
  readonly lengthSpread: number;
  /** Version that the engine serves after each start of its process. */
  readonly initialVersion: WeightVersion;
  /** Versions held in memory; the oldest one that is not active makes room. */
  readonly loadedVersionLimit: number;
  /** Time the weight store takes to deliver a version; unused where loads are external. */
  readonly loadTime: Milliseconds;
  /** Time an adapter takes to be loaded. */
  readonly adapterLoadTime: Milliseconds;
  /** Share of loads that fail, in `[0, 1]`. */
  readonly loadFailureRate: number;
  /** How old a load report may be. */
  readonly reportLag: Milliseconds;
  /** How late cache events are published. */
  readonly cacheEventLag: Milliseconds;
  /** Share of cache events that are never published, in `[0, 1]`. */
  readonly cacheEventLossRate: number;
}

/** Defaults for all settings but the worker's name. */
export const DEFAULT_ENGINE_SETTINGS: Omit<EngineSettings, 'worker'> = {
  slots: 16,
  queueLimit: 64,
  baseStepTime: 10,
  stepTimePerSequence: 0.5,
  prefillTimePerToken: 0.2,
  chunkTokens: 16,
  prefixCacheTokens: 16_384,
  medianTokens: 200,
  lengthSpread: 0.9,
  initialVersion: 1,
  loadedVersionLimit: 3,
  loadTime: 2_000,
  adapterLoadTime: 200,
  loadFailureRate: 0,
  reportLag: 1_000,
  cacheEventLag: 500,
  cacheEventLossRate: 0.05,
};
