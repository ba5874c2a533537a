/**
 * What decision modules know of model workers, and what they tell them.
 */
import type { GenerationResult, TokenSegment } from '../core/generation.js';
import type { ModelName, WorkerId, ZoneName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { ExecutionState } from '../errors/error-kinds.js';

/** A model worker as the machine list names it. */
export interface WorkerRecord {
  readonly worker: WorkerId;
  readonly model: ModelName;
  readonly zone: ZoneName;
  /** IP address and port of the engine's HTTP endpoint. */
  readonly address: string;
  /** How many generations the engine batches at once. */
  readonly slots: number;
}

/** What an engine reports of itself; it lags behind the truth. */
export interface WorkerReport {
  readonly worker: WorkerId;
  readonly running: number;
  readonly waiting: number;
  /** Version that new tokens are made with. */
  readonly activeVersion: WeightVersion;
  /** Versions held in memory and ready to be activated. */
  readonly loadedVersions: readonly WeightVersion[];
  /** Highest controller epoch the engine has accepted. */
  readonly epoch: number;
  /** Whether the engine says that it is on its way out. */
  readonly leaving: boolean;
}

/** A fenced order to an engine; an engine refuses an epoch lower than one it has seen. */
export interface WorkerOrder {
  readonly epoch: number;
  readonly action:
    | { readonly kind: 'load'; readonly version: WeightVersion }
    | { readonly kind: 'activate'; readonly version: WeightVersion };
}

/** Work an engine takes: all of it, reading prompts only, or decoding. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** Every fenced order an engine knows; the weight controller gives only {@link WorkerOrder}. */
export interface EngineOrder {
  readonly epoch: number;
  readonly action:
    | WorkerOrder['action']
    | { readonly kind: 'load-adapter'; readonly adapter: string }
    | { readonly kind: 'change-role'; readonly role: EngineRole };
}

/** The outcome of an order. */
export type WorkerOrderResult =
  | { readonly kind: 'done' }
  | { readonly kind: 'refused-epoch'; readonly epoch: number }
  | { readonly kind: 'failed'; readonly reason: string };

/** What comes back from one generation on an engine. */
export type EngineEvent =
  | {
      /** A run of tokens of one version. */
      readonly kind: 'segment';
      readonly segment: TokenSegment;
      readonly text: string;
    }
  | { readonly kind: 'finished'; readonly result: GenerationResult }
  | {
      readonly kind: 'failed';
      /** `no` only where the engine cannot have accepted the work. */
      readonly ran: ExecutionState;
      readonly reason: string;
    };

/** One machine of the platform's list, with what runs on it. */
export interface MachineRecord {
  readonly machine: string;
  readonly zone: ZoneName;
  readonly state: 'live' | 'leaving';
  /** Node-to-node addresses of wardwing nodes on this machine. */
  readonly nodeAddresses: readonly string[];
  readonly workers: readonly WorkerRecord[];
}

/** How long an engine's own load report may lag behind the truth at most. */
export const REPORT_LAG_LIMIT: Milliseconds = 2_000;
