/** Settings and effects of the worker directory. */
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { WorkerViewMessage } from './messages.js';
import type { OutlierDetector } from './outlier-detector.js';
import type { WorkerStateChange } from './worker-candidate.js';

/** Something the directory asks to be done. */
export type WorkerDirectoryEffect =
  | {
      readonly kind: 'send';
      readonly to: NodeIdentity;
      readonly message: WorkerViewMessage;
    }
  | { readonly kind: 'poll'; readonly worker: WorkerRecord }
  | { readonly kind: 'state-change'; readonly change: WorkerStateChange };

/** Settings of the directory. */
export interface WorkerDirectoryOptions {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  /** Most workers followed of one model and zone; default 32. */
  readonly subsetSize?: number;
  /** Time between two polls of a worker by its home; default 500 ms. */
  readonly pollInterval?: Milliseconds;
  /** Shortest time between two pushes to one subscriber; default 200 ms. */
  readonly pushInterval?: Milliseconds;
  /** Longest time between two renewals of a subscription; default 2,000 ms. */
  readonly renewInterval?: Milliseconds;
  /** Time without news after which a worker's load counts as unknown; default 5,000 ms. */
  readonly staleAfter?: Milliseconds;
  /** Default: a detector with its own defaults. */
  readonly outlierDetector?: OutlierDetector;
}
