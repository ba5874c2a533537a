/**
 * A simulated interactive caller: asks one thing, and tries again elsewhere under the same
 * idempotency key when it got no final answer.
 */
import type { Milliseconds } from '../../src/core/units.js';
import { executionStateOf, retryAfterOf } from '../../src/errors/error-kinds.js';
import type { Operation } from './action.js';
import { type Attempt, anyNode, attempt, pauseAfter } from './client.js';
import type { CallerPlan } from './fleet-plan.js';
import type { Simulation } from './simulation.js';

/** Tries of one request, the first included. */
const TRY_LIMIT = 5;

/** What a caller asks for. */
export type Question = Extract<Operation, { readonly kind: 'ask' }>;

/** One caller with its requests. */
export class InteractiveClient {
  readonly #simulation: Simulation;
  readonly #plan: CallerPlan;
  #count = 0;
  #open = 0;

  constructor(simulation: Simulation, plan: CallerPlan) {
    this.#simulation = simulation;
    this.#plan = plan;
  }

  /** Whether some request is still under way. */
  get isBusy(): boolean {
    return this.#open > 0;
  }

  /** Asks one thing. */
  ask(question: Question): void {
    this.#count += 1;
    this.#open += 1;
    this.#try(question, this.#count, 1);
  }

  #try(question: Question, number: number, tries: number): void {
    const { account, model } = this.#plan;
    attempt(
      this.#simulation,
      anyNode(this.#simulation),
      (localNow) => ({
        kind: 'generate',
        account,
        model,
        prompt: `[${account}] premium for order ${number}`,
        maxTokens: question.maxTokens,
        samplingSeed: number,
        idempotencyKey: question.keyed ? `${account}-${number}` : null,
        repeatable: question.repeatable,
        deadline: localNow + question.patience,
        stream: question.stream,
      }),
      question.patience + HANG_UP_MARGIN,
      (outcome) => this.#end(question, number, tries, outcome),
    );
  }

  #end(question: Question, number: number, tries: number, outcome: Attempt): void {
    const again = question.keyed && tries < TRY_LIMIT && isWorthRepeating(outcome);
    if (!again) {
      this.#open -= 1;
      return;
    }
    this.#simulation.queue.after(pauseAfter(outcome), () => this.#try(question, number, tries + 1));
  }
}

/** How much longer than its deadline a caller holds the connection. */
const HANG_UP_MARGIN: Milliseconds = 500;

function isWorthRepeating(outcome: Attempt): boolean {
  if (outcome.kind === 'lost') return true;
  if (outcome.kind === 'done') return false;
  return retryAfterOf(outcome.failure) !== null || executionStateOf(outcome.failure) === 'unknown';
}
