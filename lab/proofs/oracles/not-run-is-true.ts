/** A failure that says "not run" is true. */
import type { Milliseconds } from '../../../src/core/units.js';
import { executionStateOf } from '../../../src/errors/error-kinds.js';
import type { CallReply } from '../../../src/node/calls.js';
import type { Observation } from '../../simulation/observation.js';
import { Oracle } from '../oracle.js';
import { CallLog, promptsOf } from './call-log.js';

interface CallAttempt {
  readonly sentAt: Milliseconds;
  /** Whether the caller was told that the work did not run. */
  saidNotRun: boolean;
}

interface Acceptance {
  readonly at: Milliseconds;
  readonly worker: string;
  readonly prompt: string;
}

/**
 * Every piece of work that an engine accepted must belong to some attempt, made before, that did
 * not end with "not run". Prompts are unique to a request, and attempts of one request share it.
 */
export class NotRunIsTrueOracle extends Oracle {
  readonly #calls = new CallLog();
  readonly #attempts = new Map<string, CallAttempt>();
  /** Attempts by prompt. */
  readonly #byPrompt = new Map<string, CallAttempt[]>();
  readonly #acceptances: Acceptance[] = [];
  /** Prompts for which some attempt was told "not run". */
  readonly #refused = new Set<string>();

  override observe(observation: Observation): void {
    this.#calls.observe(observation);
    if (observation.kind === 'call') this.#noteCall(observation);
    if (observation.kind === 'reply-sent') this.#noteReply(observation.callId, observation.reply);
    if (observation.kind === 'engine-accepted') {
      const { at, worker } = observation;
      this.#acceptances.push({ at, worker, prompt: observation.request.prompt });
    }
  }

  override finish(): void {
    for (const { at, worker, prompt } of this.#acceptances) {
      const attempts = this.#byPrompt.get(prompt) ?? [];
      const explained = attempts.some((attempt) => attempt.sentAt <= at && !attempt.saidNotRun);
      this.compare(explained, at, () => `"${prompt}" ran at ${worker}, but was "not run"`);
    }
    const ran = new Set(this.#acceptances.map((acceptance) => acceptance.prompt));
    for (const prompt of this.#refused) {
      if (!ran.has(prompt)) this.compare(true, 0, () => '');
    }
  }

  #noteCall(observation: Extract<Observation, { readonly kind: 'call' }>): void {
    const attempt: CallAttempt = { sentAt: observation.at, saidNotRun: false };
    this.#attempts.set(observation.callId, attempt);
    for (const prompt of promptsOf(observation.call)) {
      const attempts = this.#byPrompt.get(prompt) ?? [];
      attempts.push(attempt);
      this.#byPrompt.set(prompt, attempts);
    }
  }

  #noteReply(callId: string, reply: CallReply): void {
    if (reply.kind !== 'failed' || executionStateOf(reply.failure) !== 'no') return;
    const call = this.#calls.call(callId);
    const attempt = this.#attempts.get(callId);
    if (call === undefined || attempt === undefined) return;
    attempt.saidNotRun = true;
    for (const prompt of promptsOf(call)) this.#refused.add(prompt);
  }
}
