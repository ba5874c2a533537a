/** A caller or trainer receives the complete answer to its own request. */
import type { GenerationResult } from '../../../src/core/generation.js';
import type { Milliseconds, TokenCount } from '../../../src/core/units.js';
import type { CallReply } from '../../../src/node/calls.js';
import { answerLength } from '../../emulator/answer-length.js';
import { expectedText } from '../../emulator/generated-text.js';
import { SHORT_ANSWERS } from '../../simulation/fleet-plan.js';
import type { Observation } from '../../simulation/observation.js';
import { SIMULATED_ENGINE_SETTINGS } from '../../simulation/simulation.js';
import { Oracle } from '../oracle.js';
import { type AnsweredWork, type AskedWork, CallLog } from './call-log.js';

/** Compares each answer's text with the text its own request must give, up to the last token. */
export class CompleteAnswerOracle extends Oracle {
  readonly #calls = new CallLog();
  /** Text streamed so far, by call. */
  readonly #streamed = new Map<string, string>();
  /** Prompt group under which each prompt reached an engine; it fixes the length. */
  readonly #groups = new Map<string, string>();

  /** @param medianTokens median length of the answers in the run. */
  constructor(private readonly medianTokens: TokenCount = SHORT_ANSWERS) {
    super();
  }

  override observe(observation: Observation): void {
    this.#calls.observe(observation);
    if (observation.kind === 'engine-accepted') {
      const { prompt, promptGroup } = observation.request;
      this.#groups.set(prompt, promptGroup);
    }
    if (observation.kind !== 'reply-received') return;
    const { at, callId, reply } = observation;
    this.#judgeStream(at, callId, reply);
    for (const answer of this.#calls.answers(callId, reply)) this.#judge(at, answer);
  }

  #judgeStream(at: Milliseconds, callId: string, reply: CallReply): void {
    const streamed = this.#streamed.get(callId);
    if (reply.kind === 'segment') this.#streamed.set(callId, (streamed ?? '') + reply.text);
    if (streamed === undefined || reply.kind !== 'done') return;
    const { body } = reply;
    const whole = body.kind === 'generated' && body.result.text === streamed;
    this.compare(whole, at, () => `${callId}: the stream differs from the answer`);
  }

  #judge(at: Milliseconds, { name, work, result }: AnsweredWork): void {
    if (work === undefined) {
      this.compare(false, at, () => `${name}: an answer that nobody asked for`);
      return;
    }
    const expected = expectedText(work.prompt, work.samplingSeed, result.segments);
    this.compare(result.text === expected, at, () => `${name}: not the text of its request`);
    const length = this.#expectedLength(work);
    this.compare(
      length === undefined || isWhole(result, length, work.maxTokens),
      at,
      () => `${name}: ${result.tokenCount} tokens (${result.finishReason}) in place of ${length}`,
    );
  }

  #expectedLength(work: AskedWork): number | undefined {
    const promptGroup = this.#groups.get(work.prompt);
    if (promptGroup === undefined) return undefined;
    const { samplingSeed } = work;
    const { lengthSpread } = SIMULATED_ENGINE_SETTINGS;
    const { medianTokens } = this;
    return answerLength({ promptGroup, samplingSeed, medianTokens, lengthSpread });
  }
}

function isWhole(result: GenerationResult, length: number, maxTokens: number): boolean {
  return result.tokenCount === Math.min(length, maxTokens);
}
