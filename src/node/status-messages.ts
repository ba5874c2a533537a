/** Messages by which a node gathers the state of others for an operator's `status` or `explain`. */
import type { IntentName, ZoneName } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { ModelControlStatus } from '../weights/weight-controller-types.js';
import type { ExplainRecord } from './calls.js';

/** The state of one node. */
export interface NodeStatus {
  readonly node: string;
  readonly incarnation: number;
  readonly zone: ZoneName;
  readonly revision: Revision;
  /** Age of the configuration; -1 where it was never fresh. */
  readonly freshnessAgeMilliseconds: Milliseconds;
  readonly ready: boolean;
  readonly reason: string;
  readonly stopping: boolean;
  /** Keys of the steps this node drives. */
  readonly drivenSteps: readonly string[];
  /** Where the weights stand of the models this node controls in its zone. */
  readonly rollouts: readonly ModelControlStatus[];
  readonly openCalls: number;
  readonly activeDispatches: number;
  readonly workersAtHome: readonly string[];
  /** Ledger groups this node is a member of that have too few live members. */
  readonly groupsUnderStrength: readonly GroupUnderStrength[];
}

/** A ledger group with too few live members. */
export interface GroupUnderStrength {
  readonly intent: IntentName;
  readonly shard: number;
  readonly epoch: number;
  readonly alive: number;
  readonly members: number;
}

/** A message of this module. */
export type StatusMessage =
  | { readonly kind: 'status-query'; readonly queryId: string }
  | { readonly kind: 'status-answer'; readonly queryId: string; readonly status: NodeStatus }
  | { readonly kind: 'explain-query'; readonly queryId: string; readonly subject: string }
  | {
      readonly kind: 'explain-answer';
      readonly queryId: string;
      readonly node: string;
      readonly records: readonly ExplainRecord[];
    };
