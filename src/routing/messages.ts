/** Messages between nodes that subscribe to the load of workers and publish it. */
import type { WorkerId } from '../core/identity.js';
import type { WeightVersion } from '../core/units.js';

/** Health of a worker at its home, from polls and from the outcomes of dispatches. */
export type WorkerHealth = 'healthy' | 'failing' | 'unreachable';

/** Load and state of a worker at its home; always complete, never a difference. */
export interface WorkerLoad {
  readonly worker: WorkerId;
  /** Generations the home counts as running or queued on the worker. */
  readonly outstanding: number;
  /** The interactive ones among `outstanding`. */
  readonly interactiveOutstanding: number;
  /** Further training generations that the home would accept, including queued ones. */
  readonly queueFree: number;
  /** Running and waiting generations in the engine's own report, which lags. */
  readonly reportedLoad: number;
  /** Version that generates new tokens; `null` before the first report. */
  readonly activeVersion: WeightVersion | null;
  readonly loadedVersions: readonly WeightVersion[];
  readonly leaving: boolean;
  readonly health: WorkerHealth;
}

/** A message between the worker directories of two nodes. */
export type WorkerLoadMessage =
  | {
      /** Sent to a home; replaces the sender's earlier subscription there. */
      readonly kind: 'subscribe';
      readonly workers: readonly WorkerId[];
      /** Sequence number of the last `load` accepted from this home; 0 for none. */
      readonly lastSequence: number;
    }
  | {
      /** Sent to a subscriber; without loads it is a keep-alive. */
      readonly kind: 'load';
      /** Increases by one with each message to this subscriber that is not a keep-alive. */
      readonly sequence: number;
      /** Whether the loads cover every subscribed worker. */
      readonly complete: boolean;
      readonly loads: readonly WorkerLoad[];
      /** Subscribed workers whose home is not the sender. */
      readonly notHome: readonly WorkerId[];
    };
