/** Messages of the `routing` module between nodes: subscriptions to workers' load, and the load. */
import type { WorkerId } from '../core/identity.js';
import type { WeightVersion } from '../core/units.js';

/** How a worker's home judges it by its polls and by the outcomes of the work sent to it. */
export type WorkerHealth = 'healthy' | 'failing' | 'unreachable';

/** What a worker's home knows of it; always complete, never a difference. */
export interface WorkerLoad {
  readonly worker: WorkerId;
  /** Generations the home counts as running or queued on the worker. */
  readonly outstanding: number;
  /** Those of them that are interactive. */
  readonly interactiveOutstanding: number;
  /** Further training generations the home would take now, queue included. */
  readonly queueFree: number;
  /** Running and waiting generations in the engine's own, lagging report. */
  readonly reportedLoad: number;
  /** Version new tokens are made with; `null` before the first report. */
  readonly activeVersion: WeightVersion | null;
  readonly loadedVersions: readonly WeightVersion[];
  readonly leaving: boolean;
  readonly health: WorkerHealth;
}

/** A message of this module. */
export type WorkerViewMessage =
  | {
      /** Sent to a home, and renewed: replaces the sender's earlier subscription there. */
      readonly kind: 'subscribe';
      readonly workers: readonly WorkerId[];
      /** Sequence number of the last `load` taken in from this home; 0 for none. */
      readonly lastSequence: number;
    }
  | {
      /** Sent to a subscriber; without loads it is a keep-alive. */
      readonly kind: 'load';
      /** Rises by one with each message that carries loads to this subscriber. */
      readonly sequence: number;
      /** Whether the loads cover every subscribed worker. */
      readonly complete: boolean;
      readonly loads: readonly WorkerLoad[];
      /** Workers asked for whose home the sender is not. */
      readonly notHome: readonly WorkerId[];
    };
