/**
 * A stand-in for the node's decision core: nodes share one memory, so that every promise holds as
 * long as no node fails. Lets the harness be tested by itself.
 */

import type { FleetPlan } from '../../../lab/simulation/fleet-plan.js';
import type { NodeFactory, NodeLogic } from '../../../lab/simulation/ports.js';
import type { GenerationResult } from '../../../src/core/generation.js';
import type { NodeRecord } from '../../../src/core/identity.js';
import { failure } from '../../../src/errors/error-kinds.js';
import type { CallReply, NodeCall, SampleRequest } from '../../../src/node/calls.js';
import type { NodeEffect, NodeEvent } from '../../../src/node/node-events.js';

type Generate = Extract<NodeCall, { readonly kind: 'generate' }>;
type Submit = Extract<NodeCall, { readonly kind: 'step-submit' }>;

interface StubStep {
  readonly call: Submit;
  readonly delivered: { readonly key: string; readonly result: GenerationResult }[];
  closed: boolean;
}

/** A fault of the stub that a proof must find. */
export type StubFault = 'none' | 'wrong-version' | 'twice' | 'incomplete';

class StubNode implements NodeLogic {
  readonly #pending = new Map<string, (result: GenerationResult | null) => NodeEffect[]>();
  #count = 0;

  constructor(
    private readonly self: NodeRecord,
    private readonly plan: FleetPlan,
    private readonly steps: Map<string, StubStep>,
    private readonly fault: StubFault,
  ) {}

  configuration(): { readonly revision: number } {
    return { revision: 0 };
  }

  handle(event: NodeEvent): readonly NodeEffect[] {
    if (event.kind === 'call') return this.#call(event.callId, event.call);
    if (event.kind === 'stop') return [{ kind: 'stopped' }];
    if (event.kind !== 'engine' || event.event.kind === 'segment') return [];
    const onEnd = this.#pending.get(event.dispatchId);
    this.#pending.delete(event.dispatchId);
    return onEnd?.(event.event.kind === 'finished' ? this.#spoil(event.event.result) : null) ?? [];
  }

  #spoil(result: GenerationResult): GenerationResult {
    if (this.fault === 'incomplete') return { ...result, text: result.text.slice(0, -1) };
    if (this.fault !== 'wrong-version') return result;
    const segments = result.segments.map((one) => ({ ...one, version: one.version + 1 }));
    return { ...result, segments };
  }

  #call(callId: string, call: NodeCall): NodeEffect[] {
    const reply = (value: CallReply): NodeEffect[] => [{ kind: 'reply', callId, reply: value }];
    switch (call.kind) {
      case 'generate':
        return this.#generate(call, call, (result) =>
          reply(
            result === null
              ? { kind: 'failed', failure: failure('engine_failed', 'stub') }
              : { kind: 'done', body: { kind: 'generated', result } },
          ),
        );
      case 'step-submit':
        return [...this.#submit(call), ...reply(accepted(call))];
      case 'step-read':
        return reply(this.#read(call));
      default:
        return reply({ kind: 'failed', failure: failure('internal', 'not in the stub') });
    }
  }

  #submit(call: Submit): NodeEffect[] {
    if (this.steps.has(call.stepId)) return [];
    const step: StubStep = { call, delivered: [], closed: false };
    this.steps.set(call.stepId, step);
    return call.samples.flatMap((sample) => this.#sample(step, sample));
  }

  #sample(step: StubStep, sample: SampleRequest): NodeEffect[] {
    return this.#generate(step.call, sample, (result) => {
      if (result === null) return this.#sample(step, sample);
      step.delivered.push({ key: sample.key, result });
      if (this.fault === 'twice') step.delivered.push({ key: sample.key, result });
      return [];
    });
  }

  #read(call: Extract<NodeCall, { readonly kind: 'step-read' }>): CallReply {
    const step = this.steps.get(call.stepId);
    if (step === undefined) return { kind: 'failed', failure: failure('not_found', 'stub') };
    const samples = step.delivered
      .map((sample, position) => ({ position, ...sample }))
      .slice(call.cursor, call.cursor + call.limit);
    const sampleCount = step.call.samples.length;
    const state = step.delivered.length >= sampleCount ? 'complete' : 'open';
    const nextCursor = call.cursor + samples.length;
    const { stepId } = call;
    const page = {
      stepId,
      samples,
      nextCursor,
      acknowledged: 0,
      sampleCount,
      state,
      failure: null,
    };
    return { kind: 'done', body: { kind: 'step-page', page: { ...page, state } } };
  }

  #generate(
    call: Generate | Submit,
    work: Pick<SampleRequest, 'prompt' | 'maxTokens' | 'samplingSeed'>,
    onEnd: (result: GenerationResult | null) => NodeEffect[],
  ): NodeEffect[] {
    const workers = this.plan.workers.filter((one) => one.model === call.model);
    this.#count += 1;
    const worker = workers[this.#count % workers.length];
    if (worker === undefined) return onEnd(null);
    const dispatchId = `${this.self.node}#${this.self.incarnation}-${this.#count}`;
    this.#pending.set(dispatchId, onEnd);
    const request = {
      requestId: dispatchId,
      account: call.account,
      intent: 'stub',
      model: call.model,
      trafficClass: call.kind === 'generate' ? ('interactive' as const) : ('training' as const),
      prompt: work.prompt,
      maxTokens: work.maxTokens,
      samplingSeed: work.samplingSeed,
      repeatable: true,
      oldestVersion: 0,
      promptGroup: work.prompt,
    };
    return [{ kind: 'engine-start', dispatchId, worker, request }];
  }
}

function accepted(call: Submit): CallReply {
  const { stepId } = call;
  const sampleCount = call.samples.length;
  return { kind: 'done', body: { kind: 'step-accepted', stepId, sampleCount, repeated: false } };
}

/** A factory of stubs; those of one run share one memory. */
export function createStubFactory(fault: StubFault = 'none'): NodeFactory {
  let steps = new Map<string, StubStep>();
  return (self, plan) => {
    const beginsRun = self.node === plan.nodes[0]?.node && self.incarnation === 1;
    if (beginsRun) steps = new Map();
    return new StubNode(self, plan, steps, fault);
  };
}
