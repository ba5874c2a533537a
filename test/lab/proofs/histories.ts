/** Histories of observations, written by hand, for the oracles' own tests. */

import { expectedText } from '../../../lab/emulator/generated-text.js';
import type { Oracle } from '../../../lab/proofs/oracle.js';
import type { Observation, ObservationBody } from '../../../lab/simulation/observation.js';
import { catalogueKey, type Intent, intentKey } from '../../../src/config-feed/configuration.js';
import type { GenerationRequest, GenerationResult } from '../../../src/core/generation.js';
import { failure } from '../../../src/errors/error-kinds.js';
import type { CallReply, NodeCall, StepPage } from '../../../src/node/calls.js';

export const PROMPT = '[trainer-pricing] clause';
export const NODE = 'abdali-hall-1';
export const ZONE = 'abdali-hall';

/** An observation at a time. */
export function at(time: number, body: ObservationBody): Observation {
  return { at: time, ...body };
}

/** Shows an oracle a history and lets it judge the end. */
export function judge(oracle: Oracle, history: readonly Observation[]): Oracle {
  for (const observation of history) oracle.observe(observation);
  oracle.finish(history.at(-1)?.at ?? 0);
  return oracle;
}

/** A whole answer made by versions, one token each. */
export function answer(prompt: string, versions: readonly number[]): GenerationResult {
  const segments = versions.map((version, firstToken) => ({ version, firstToken, tokenCount: 1 }));
  const text = expectedText(prompt, 0, segments);
  return { text, tokenCount: versions.length, segments, finishReason: 'length' };
}

/** A call of a client. */
export function called(time: number, callId: string, call: NodeCall, zone = ZONE): Observation {
  return at(time, { kind: 'call', callId, node: NODE, zone, account: call.account, call });
}

/** A reply that left the node and arrived. */
export function replied(time: number, callId: string, reply: CallReply): Observation[] {
  return [
    at(time, { kind: 'reply-sent', callId, node: NODE, reply }),
    at(time, { kind: 'reply-received', callId, reply }),
  ];
}

/** A failure that says whether the work ran. */
export function failed(ran: 'no' | 'unknown'): CallReply {
  return { kind: 'failed', failure: failure('outcome_unknown', 'test', { ran }) };
}

/** An interactive call for one prompt. */
export function question(prompt: string, repeatable = true): NodeCall {
  return {
    kind: 'generate',
    account: 'broker-1',
    model: 'member-portal',
    prompt,
    maxTokens: 2,
    samplingSeed: 0,
    idempotencyKey: null,
    repeatable,
    deadline: 1_000,
    stream: false,
  };
}

/** The submission of a step with two samples. */
export const SUBMIT: NodeCall = {
  kind: 'step-submit',
  account: 'trainer-pricing',
  model: 'model-bench',
  stepId: 'step-1',
  timeout: 1_000_000,
  samples: ['a', 'b'].map((key) => ({ key, prompt: PROMPT, maxTokens: 1, samplingSeed: 0 })),
};

/** A read of that step. */
export const READ: NodeCall = {
  kind: 'step-read',
  account: 'trainer-pricing',
  stepId: 'step-1',
  cursor: 0,
  limit: 4,
  deadline: 1_000,
};

/** The acknowledgement of both its samples. */
export const ACKNOWLEDGE: NodeCall = {
  kind: 'step-acknowledge',
  account: 'trainer-pricing',
  stepId: 'step-1',
  cursor: 2,
};

/** The acceptance of that step. */
export const ACCEPTED: CallReply = {
  kind: 'done',
  body: { kind: 'step-accepted', stepId: 'step-1', sampleCount: 2, repeated: false },
};

/** A page of that step with samples by key, from position 0, made by one version. */
export function page(
  keys: readonly string[],
  version = 1,
  part: Partial<StepPage> = {},
): CallReply {
  const samples = keys.map((key, position) => ({
    position,
    key,
    result: answer(PROMPT, [version]),
  }));
  const state = keys.length >= 2 ? 'complete' : 'open';
  const whole: StepPage = {
    stepId: 'step-1',
    samples,
    nextCursor: keys.length,
    acknowledged: 0,
    sampleCount: 2,
    state,
    failure: null,
    ...part,
  };
  return { kind: 'done', body: { kind: 'step-page', page: whole } };
}

/** An intent of the trainer that allows some zones. */
export function intent(zones: readonly string[]): Intent {
  return {
    name: 'clause-summaries',
    trainer: 'trainer-pricing',
    model: 'model-bench',
    zones,
    minimumVersion: 1,
    maximumVersion: null,
    stalenessBound: 1,
    versionSpan: 'record',
    interactive: { accounts: ['broker-1'], reservedShare: 0 },
    cutOff: { kind: 'refuse' },
  };
}

/** The change that puts an intent into the key-value service. */
export function intentPut(time: number, revision: number, zones: readonly string[]): Observation {
  const value = JSON.stringify(intent(zones));
  return at(time, {
    kind: 'key-value-changed',
    key: intentKey('clause-summaries'),
    value,
    revision,
  });
}

/** The change that publishes versions up to one. */
export function published(time: number, revision: number, newest: number): Observation {
  const versions = Array.from({ length: newest }, (_, index) => ({ version: index + 1 }));
  const value = JSON.stringify({ model: 'model-bench', versions });
  return at(time, { kind: 'key-value-changed', key: catalogueKey('model-bench'), value, revision });
}

/** An engine's acceptance of a prompt. */
export function ran(time: number, prompt: string, zone = ZONE, dispatchId = 'd1'): Observation {
  const request: GenerationRequest = {
    requestId: prompt,
    account: 'trainer-pricing',
    intent: 'clause-summaries',
    model: 'model-bench',
    trafficClass: 'training',
    prompt,
    maxTokens: 2,
    samplingSeed: 0,
    repeatable: true,
    oldestVersion: 1,
    promptGroup: prompt,
  };
  const senderAlive = true;
  const worker = 'worker-1';
  return at(time, {
    kind: 'engine-accepted',
    worker,
    zone,
    node: NODE,
    dispatchId,
    request,
    senderAlive,
  });
}
