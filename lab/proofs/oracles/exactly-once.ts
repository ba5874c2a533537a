/** Each sample reaches its trainer exactly once, at a position that never changes. */
import type { Milliseconds } from '../../../src/core/units.js';
import type { CallReply, DeliveredSample, NodeCall, StepPage } from '../../../src/node/calls.js';
import type { Observation } from '../../simulation/observation.js';
import { Oracle } from '../oracle.js';
import { CallLog, pageOf, stepName } from './call-log.js';

interface StepRecord {
  readonly name: string;
  readonly keys: ReadonlySet<string>;
  /** Bytes first seen at each position. */
  readonly bytes: Map<number, string>;
  readonly positions: Map<string, number>;
  accepted: boolean;
  /** The trainer stopped waiting, or the system said that the step is closed. */
  closed: boolean;
  acknowledged: number;
}

/** Notes what trainers received, and compares each page with all pages before. */
export class ExactlyOnceOracle extends Oracle {
  readonly #calls = new CallLog();
  readonly #steps = new Map<string, StepRecord>();
  /** Acknowledged cursor known when each call was made. */
  readonly #acknowledgedBefore = new Map<string, number>();
  /** Calls made when all samples of their step had come. */
  readonly #madeWhenWhole = new Set<string>();

  override observe(observation: Observation): void {
    this.#calls.observe(observation);
    if (observation.kind === 'call') this.#noteCall(observation.callId, observation.call);
    if (observation.kind === 'reply-received') {
      this.#noteReply(observation.at, observation.callId, observation.reply);
    }
  }

  override finish(now: Milliseconds): void {
    for (const step of this.#steps.values()) {
      if (step.closed) continue;
      this.compare(step.accepted, now, () => `${step.name} was never accepted`);
      for (const key of step.keys) {
        this.compare(step.positions.has(key), now, () => `${step.name}/${key} was lost`);
      }
    }
  }

  #noteCall(callId: string, call: NodeCall): void {
    if (call.kind === 'step-submit') this.#noteSubmission(call);
    if (!('stepId' in call)) return;
    const step = this.#steps.get(stepName(call.account, call.stepId));
    if (step === undefined) return;
    if (call.kind === 'step-close') step.closed = true;
    this.#acknowledgedBefore.set(callId, step.acknowledged);
    if (step.positions.size === step.keys.size) this.#madeWhenWhole.add(callId);
  }

  #noteSubmission(call: Extract<NodeCall, { readonly kind: 'step-submit' }>): void {
    const name = stepName(call.account, call.stepId);
    if (this.#steps.has(name)) return;
    this.#steps.set(name, {
      name,
      keys: new Set(call.samples.map((sample) => sample.key)),
      bytes: new Map(),
      positions: new Map(),
      accepted: false,
      closed: false,
      acknowledged: 0,
    });
  }

  #noteReply(at: Milliseconds, callId: string, reply: CallReply): void {
    const call = this.#calls.call(callId);
    if (call === undefined || !('stepId' in call)) return;
    const step = this.#steps.get(stepName(call.account, call.stepId));
    if (step === undefined) return;
    if (reply.kind === 'failed' && reply.failure.kind === 'step_closed') step.closed = true;
    if (reply.kind !== 'done') {
      const lost = reply.kind === 'failed' && reply.failure.kind === 'not_found';
      if (step.accepted) this.compare(!lost || step.closed, at, () => `${step.name} is not known`);
      return;
    }
    if (reply.body.kind === 'step-accepted') step.accepted = true;
    if (reply.body.kind === 'step-acknowledged') {
      step.acknowledged = Math.max(step.acknowledged, reply.body.cursor);
    }
    const page = pageOf(reply);
    if (page !== undefined) this.#judgePage(at, callId, step, page);
  }

  #judgePage(at: Milliseconds, callId: string, step: StepRecord, page: StepPage): void {
    if (page.state === 'closed') step.closed = true;
    const before = this.#acknowledgedBefore.get(callId) ?? 0;
    this.compare(
      page.acknowledged >= before,
      at,
      () => `${step.name}: the cursor fell from ${before} to ${page.acknowledged}`,
    );
    const missing = page.samples.length === 0 && page.nextCursor < page.sampleCount;
    const forgotten = missing && !step.closed && this.#madeWhenWhole.has(callId);
    this.compare(!forgotten, at, () => `${step.name} was whole and lacks ${page.nextCursor}`);
    for (const sample of page.samples) this.#judgeSample(at, step, sample);
  }

  #judgeSample(at: Milliseconds, step: StepRecord, sample: DeliveredSample): void {
    const { position, key } = sample;
    const name = `${step.name}/${key}`;
    this.compare(step.keys.has(key), at, () => `${name} was never asked for`);
    const known = step.positions.get(key) ?? position;
    this.compare(known === position, at, () => `${name} came at ${known} and at ${position}`);
    step.positions.set(key, known);
    const bytes = JSON.stringify(sample);
    const first = step.bytes.get(position) ?? bytes;
    this.compare(first === bytes, at, () => `${step.name}: position ${position} changed`);
    step.bytes.set(position, first);
  }
}
