/** Settings and effects of the worker directory. */
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { WorkerLoadMessage } from './messages.js';
import type { OutlierDetector } from './outlier-detector.js';
import type { WorkerStateChange } from './worker-candidate.js';

/** An action that the caller of the directory performs. */
export type WorkerDirectoryEffect =
  | {
      readonly kind: 'send';
      readonly to: NodeIdentity;
      readonly message: WorkerLoadMessage;
    }
  | { readonly kind: 'poll'; readonly worker: WorkerRecord }
  | { readonly kind: 'state-change'; readonly change: WorkerStateChange };

export interface WorkerDirectoryOptions {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  /** Maximum number of followed workers of one model and zone; larger for step drivers; default 32. */
  readonly subsetSize?: number;
  /** Interval between polls of a worker by its home; default 500 ms. */
  readonly pollInterval?: Milliseconds;
  /** Minimum interval between pushes to one subscriber; default 200 ms. */
  readonly pushInterval?: Milliseconds;
  /** Maximum interval between renewals of a subscription; default 2,000 ms. */
  readonly renewInterval?: Milliseconds;
  /** Time without an update after which the load of a worker is stale; default 5,000 ms. */
  readonly staleAfter?: Milliseconds;
  /** Default: a detector with its own defaults. */
  readonly outlierDetector?: OutlierDetector;
}
