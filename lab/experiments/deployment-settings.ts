/**
 * The two deployments of the brief as numbers. Places, workers and latencies are the brief's; step
 * times, lengths, loads and fault rates are the lab's own choice, as none were given.
 */
import { MINUTE, type Milliseconds, SECOND, type TokenCount } from '../../src/core/units.js';

/** Names of the deployments. */
export type DeploymentName = 'association' | 'cooperative';

/** One deployment. */
export interface DeploymentSettings {
  readonly name: DeploymentName;
  readonly zones: readonly string[];
  readonly trainingModel: string;
  readonly trainingWorkers: number;
  readonly interactiveModel: string;
  readonly interactiveWorkers: number;
  /** One-way time between two zones. */
  readonly zoneLatency: Milliseconds;
  /** One-way time between a client and the system. */
  readonly clientLatency: Milliseconds;
  /** Samples of one step, and how many of them share a prompt. */
  readonly samplesPerStep: number;
  readonly samplesPerGroup: number;
  /** Prompts that the trainer draws from, again and again. */
  readonly promptGroups: number;
  readonly maxTokens: TokenCount;
  readonly medianTokens: TokenCount;
  readonly lengthSpread: number;
  /** Shortest and longest training time of a step. */
  readonly trainingTime: { readonly shortest: Milliseconds; readonly longest: Milliseconds };
  /** Interactive requests a second to the interactive model and to the training model. */
  readonly lookupsPerSecond: number;
  readonly sharedLookupsPerSecond: number;
  readonly lookupTokens: TokenCount;
  /** Versions that a token may be behind the newest when its sample is used. */
  readonly stalenessBound: number;
  readonly faults: FaultSettings;
}

/** Faults, which are the same for every variant on one seed. */
export interface FaultSettings {
  /** Mean time between crashes, and between freezes, of one worker. */
  readonly timeBetweenCrashes: Milliseconds;
  readonly timeBetweenFreezes: Milliseconds;
  readonly restartTime: Milliseconds;
  readonly freezeTime: { readonly shortest: Milliseconds; readonly longest: Milliseconds };
  /** Share of loads that fail. */
  readonly loadFailureRate: number;
}

/** Engine of the training model: 62 ms a step with a full batch, 32 ms alone. */
export const TRAINING_ENGINE = {
  slots: 16,
  baseStepTime: 30,
  stepTimePerSequence: 2,
  chunkTokens: 32,
  loadTime: 6 * SECOND,
} as const;

/** Engine of the interactive model: 18 ms a step with a full batch. */
export const INTERACTIVE_ENGINE = {
  slots: 16,
  baseStepTime: 10,
  stepTimePerSequence: 0.5,
} as const;

const FAULTS: FaultSettings = {
  timeBetweenCrashes: 40 * MINUTE,
  timeBetweenFreezes: 40 * MINUTE,
  restartTime: 20 * SECOND,
  freezeTime: { shortest: 10 * SECOND, longest: 40 * SECOND },
  loadFailureRate: 0.05,
};

const COMMON = {
  samplesPerGroup: 8,
  maxTokens: 2_048,
  medianTokens: 250,
  lengthSpread: 0.9,
  trainingTime: { shortest: 80 * SECOND, longest: 100 * SECOND },
  lookupsPerSecond: 4,
  sharedLookupsPerSecond: 0.5,
  lookupTokens: 32,
  stalenessBound: 1,
  faults: FAULTS,
} as const;

/** Both deployments by name. */
export const DEPLOYMENTS: Readonly<Record<DeploymentName, DeploymentSettings>> = {
  association: {
    ...COMMON,
    name: 'association',
    zones: ['abdali-hall', 'sweifieh-hall', 'marka-hall'],
    trainingModel: 'model-bench',
    trainingWorkers: 6,
    interactiveModel: 'member-portal',
    interactiveWorkers: 3,
    zoneLatency: 0.5,
    clientLatency: 3,
    samplesPerStep: 288,
    promptGroups: 144,
  },
  cooperative: {
    ...COMMON,
    name: 'cooperative',
    zones: ['gikondo-hall', 'kicukiro-hall', 'nyarugenge-hall'],
    trainingModel: 'draft-writers',
    trainingWorkers: 8,
    interactiveModel: 'order-desk',
    interactiveWorkers: 3,
    zoneLatency: 1,
    clientLatency: 3,
    samplesPerStep: 384,
    promptGroups: 192,
  },
};
