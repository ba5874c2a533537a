/** What a step's driver asks of its node beyond the general ports. */
import type { Permission, PermissionAnswer } from '../access/permission.js';
import type { PartialGeneration } from '../core/generation.js';
import type { NodePorts } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import type { GenerationListener, RunningGeneration } from '../dispatch/generation-runner.js';
import type { SampleRequest } from '../node/calls.js';
import type { LengthPredictor } from '../routing/length-predictor.js';
import type { StepRecord } from './records.js';

/** How long a sample may take, and where it begins. */
export interface SampleLimits {
  readonly deadline: Milliseconds;
  /** What an earlier generation made of the sample; `null` for nothing. */
  readonly resume: PartialGeneration | null;
}

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
    limits: SampleLimits,
    listener: GenerationListener,
  ): RunningGeneration;
}
