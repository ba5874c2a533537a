/**
 * One interactive request that may be repeated: run with retries, its answer passed on as it
 * comes. Nothing is kept of it.
 */
import type { Permission } from '../access/permission.js';
import type { GenerationRequest } from '../core/generation.js';
import { contentDigest } from '../core/hashing.js';
import type { NodePorts } from '../core/node-ports.js';
import type {
  GenerationOutcome,
  GenerationRunner,
  RunningGeneration,
} from '../dispatch/generation-runner.js';
import type { NodeCall } from '../node/calls.js';
import { promptGroupOf } from '../rollouts/sample-queue.js';

/** An interactive call. */
export type GenerateCall = Extract<NodeCall, { kind: 'generate' }>;

/** Attempts of a repeatable request in all. */
const MAX_ATTEMPTS = 4;

/** Digest of everything that makes two calls the same request. */
export function requestDigest(call: GenerateCall): string {
  const { model, prompt, maxTokens, samplingSeed } = call;
  return contentDigest(JSON.stringify([model, prompt, maxTokens, samplingSeed]));
}

/** The generation behind an interactive call. */
export function generationOf(
  call: GenerateCall,
  requestId: string,
  permission: Permission,
): GenerationRequest {
  return {
    requestId,
    account: call.account,
    intent: permission.intent.name,
    model: call.model,
    trafficClass: 'interactive',
    prompt: call.prompt,
    maxTokens: call.maxTokens,
    samplingSeed: call.samplingSeed,
    repeatable: call.repeatable,
    oldestVersion: permission.oldestVersion,
    promptGroup: promptGroupOf(call.prompt),
  };
}

/** Starts a repeatable request; replies go to the call. */
export function runRepeatable(
  node: NodePorts,
  runner: GenerationRunner,
  callId: string,
  call: GenerateCall,
  permission: Permission,
  ended: (outcome: GenerationOutcome) => void,
): RunningGeneration {
  const request = generationOf(call, callId, permission);
  const order = {
    request,
    zones: permission.zones,
    stream: call.stream,
    deadline: call.deadline,
    maxAttempts: MAX_ATTEMPTS,
  };
  return runner.run(order, {
    onSegment: (segment, text) => node.reply(callId, { kind: 'segment', segment, text }),
    onEnd: ended,
  });
}
