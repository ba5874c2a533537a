/** Makes the generation request behind a sample of a step. */
import type { Permission } from '../access/permission.js';
import type { GenerationRequest } from '../core/generation.js';
import { type StepRecord, stepKey } from '../rollouts/records.js';
import { promptGroupOf } from '../rollouts/sample-queue.js';
import type { SampleRequest } from './calls.js';

/** The request for one sample; its id is the same for each attempt. */
export function sampleGeneration(
  record: StepRecord,
  permission: Permission,
  sample: SampleRequest,
): GenerationRequest {
  return {
    requestId: `${stepKey(record.account, record.stepId)}/${sample.key}`,
    account: record.account,
    intent: record.intent,
    model: record.model,
    trafficClass: 'training',
    prompt: sample.prompt,
    maxTokens: sample.maxTokens,
    samplingSeed: sample.samplingSeed,
    repeatable: true,
    oldestVersion: permission.oldestVersion,
    promptGroup: promptGroupOf(sample.prompt),
  };
}
