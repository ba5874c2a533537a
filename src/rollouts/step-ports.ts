/** What a step's driver asks of its node beyond the general ports. */
import type { Permission, PermissionAnswer } from '../access/permission.js';
import type { NodePorts } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import type { GenerationListener, RunningGeneration } from '../dispatch/generation-runner.js';
import type { SampleRequest } from '../node/calls.js';
import type { LengthPredictor } from '../routing/length-predictor.js';
import type { StepRecord } from './records.js';

/** Ports of the rollouts module. */
export interface StepPorts {
  readonly node: NodePorts;
  /** Whether slow last samples get a second copy. */
  readonly hedging: boolean;
  /** Lengths seen by this node, shared by its steps. */
  readonly predictor: LengthPredictor;
  /** Whether the step's intent allows work here and now. */
  permission(record: StepRecord): PermissionAnswer;
  /** Has one sample generated. */
  generate(
    record: StepRecord,
    permission: Permission,
    sample: SampleRequest,
    deadline: Milliseconds,
    listener: GenerationListener,
  ): RunningGeneration;
}
