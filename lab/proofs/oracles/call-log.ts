/**
 * What clients asked for, as an onlooker notes it: calls by identifier, and the samples of steps.
 */
import type { GenerationResult } from '../../../src/core/generation.js';
import type { AccountName, ZoneName } from '../../../src/core/identity.js';
import type { CallReply, NodeCall, SampleRequest, StepPage } from '../../../src/node/calls.js';
import type { Observation } from '../../simulation/observation.js';

/** A prompt with all that fixes its answer. */
export interface AskedWork {
  readonly account: AccountName;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly samplingSeed: number;
}

/** A result that reached somebody, with the work it is meant to answer. */
export interface AnsweredWork {
  /** `undefined` where nobody asked for it. */
  readonly work: AskedWork | undefined;
  readonly result: GenerationResult;
  readonly name: string;
}

/** Name of a step, unique over all accounts. */
export function stepName(account: AccountName, stepId: string): string {
  return `${account}/${stepId}`;
}

/** The page in a reply, if it has one. */
export function pageOf(reply: CallReply): StepPage | undefined {
  if (reply.kind !== 'done' || reply.body.kind !== 'step-page') return undefined;
  return reply.body.page;
}

/** Calls and steps seen so far. */
export class CallLog {
  readonly #calls = new Map<string, NodeCall>();
  readonly #zones = new Map<string, ZoneName>();
  readonly #samples = new Map<string, Map<string, SampleRequest>>();

  /** Notes a call. */
  observe(observation: Observation): void {
    if (observation.kind !== 'call') return;
    const { call, callId } = observation;
    this.#calls.set(callId, call);
    this.#zones.set(callId, observation.zone);
    if (call.kind !== 'step-submit') return;
    const samples = new Map(call.samples.map((sample) => [sample.key, sample]));
    this.#samples.set(stepName(call.account, call.stepId), samples);
  }

  /** The call with an identifier. */
  call(callId: string): NodeCall | undefined {
    return this.#calls.get(callId);
  }

  /** The zone of the node that a call went to. */
  zone(callId: string): ZoneName | undefined {
    return this.#zones.get(callId);
  }

  /** All results in a reply, with the work that each must answer. */
  answers(callId: string, reply: CallReply): AnsweredWork[] {
    const call = this.#calls.get(callId);
    if (call === undefined || reply.kind !== 'done') return [];
    if (reply.body.kind === 'generated') {
      const work = call.kind === 'generate' ? call : undefined;
      return [{ work, result: reply.body.result, name: callId }];
    }
    if (reply.body.kind !== 'step-page') return [];
    const { page } = reply.body;
    return page.samples.map(({ key, result }) => ({
      work: this.#sample(call.account, page.stepId, key),
      result,
      name: `${stepName(call.account, page.stepId)}/${key}`,
    }));
  }

  #sample(account: AccountName, stepId: string, key: string): AskedWork | undefined {
    const sample = this.#samples.get(stepName(account, stepId))?.get(key);
    return sample === undefined ? undefined : { account, ...sample };
  }
}

/** The prompts behind a call: one for a generation, one a sample for a step. */
export function promptsOf(call: NodeCall): string[] {
  if (call.kind === 'generate') return [call.prompt];
  return call.kind === 'step-submit' ? call.samples.map((sample) => sample.prompt) : [];
}
