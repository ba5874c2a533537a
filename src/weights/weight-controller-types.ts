/** Settings, inputs and effects of the weight controller. */
import type { Configuration } from '../config-feed/configuration.js';
import type { ModelName, NodeRecord } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { ChangeDetails } from '../core/state-change.js';
import { SECOND } from '../core/units.js';
import type { KeyValueOperation } from '../platform/key-value.js';
import type { WorkerOrder, WorkerRecord } from '../platform/worker.js';
import type { RolloutLimits, RolloutProgress } from './model-rollout.js';

/** Settings of the weight controller. */
export interface WeightControllerOptions extends Partial<RolloutLimits> {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  /**
   * Loads from the weight store at once in the zone, default 64. It is shared evenly between the
   * zone's models, each having one at least.
   */
  readonly zoneLoadsAtOnce?: number;
}

/** Default limits of rollouts. */
export const DEFAULT_ROLLOUT_LIMITS: RolloutLimits = {
  activationQuorum: 0.95,
  activationWaitLimit: 30 * SECOND,
  loadTimeout: 60 * SECOND,
  activateTimeout: 5 * SECOND,
  pollInterval: SECOND,
};

/** Default of {@link WeightControllerOptions.zoneLoadsAtOnce}. */
export const DEFAULT_ZONE_LOADS_AT_ONCE = 64;

/** What the controller decides on. */
export interface WeightControllerView {
  readonly configuration: Configuration;
  /**
   * While this is false no epoch is claimed, and a controller that holds one only brings workers
   * forward to the last known target, never back.
   */
  readonly configurationFresh: boolean;
  /** Live nodes of the own zone, this node included while it may control. */
  readonly liveInZone: readonly NodeRecord[];
  /** Workers of the own zone, all models. */
  readonly workers: readonly WorkerRecord[];
}

/** Something the controller wants done. */
export type WeightControllerEffect =
  | {
      readonly kind: 'worker-order';
      readonly orderId: string;
      readonly worker: WorkerRecord;
      readonly order: WorkerOrder;
    }
  | {
      readonly kind: 'key-value';
      readonly requestId: string;
      readonly operation: KeyValueOperation;
    }
  /** Ask the worker for a report. */
  | { readonly kind: 'poll'; readonly worker: WorkerRecord }
  | {
      readonly kind: 'state-change';
      readonly change: 'control-taken' | 'control-lost' | 'rollout-started' | 'rollout-complete';
      readonly details: ChangeDetails;
    };

/** Where one controlled model stands. */
export interface ModelControlStatus extends RolloutProgress {
  readonly model: ModelName;
  /** `undefined` while the epoch is being claimed. */
  readonly epoch: number | undefined;
}
