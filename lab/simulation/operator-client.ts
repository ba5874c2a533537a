/**
 * A simulated operator: proposes and confirms, publishes versions, drains. What it was told to do
 * it tries again at other nodes until it is done, refused or out of tries.
 */
import type { DrainTarget, Intent } from '../../src/config-feed/configuration.js';
import type { AccountName, ModelName } from '../../src/core/identity.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { retryAfterOf } from '../../src/errors/error-kinds.js';
import type { NodeCall } from '../../src/node/calls.js';
import { type Attempt, anyNode, attempt, PATIENCE, pauseAfter } from './client.js';
import type { Simulation } from './simulation.js';

/** Tries of one call, the first included. */
const TRY_LIMIT = 40;

/** One operator. */
export class OperatorClient {
  readonly #simulation: Simulation;
  readonly #account: AccountName;
  #open = 0;

  constructor(simulation: Simulation, account: AccountName) {
    this.#simulation = simulation;
    this.#account = account;
  }

  /** Whether some call is still under way. */
  get isBusy(): boolean {
    return this.#open > 0;
  }

  /** Proposes an intent and confirms the plan after a moment's thought. */
  change(draft: Intent, thought: Milliseconds): void {
    const account = this.#account;
    this.#insist({ kind: 'intent-propose', account, draft }, (outcome) => {
      const planId = planIdOf(outcome);
      if (planId === undefined) return;
      this.#simulation.queue.after(thought, () =>
        this.#insist({ kind: 'intent-confirm', account, planId }, () => undefined),
      );
    });
  }

  /** Publishes a weight version. */
  publish(model: ModelName, version: WeightVersion): void {
    this.#insist(
      {
        kind: 'version-publish',
        account: this.#account,
        model,
        version: { version, digest: `digest-${model}-${version}`, bytes: 1_000 },
      },
      () => undefined,
    );
  }

  /** Drains something, and takes the drain back after a while. */
  drain(target: DrainTarget, duration: Milliseconds): void {
    const call = (drained: boolean): NodeCall => ({
      kind: 'drain',
      account: this.#account,
      target,
      reason: 'maintenance',
      drained,
    });
    this.#insist(call(true), () =>
      this.#simulation.queue.after(duration, () => this.#insist(call(false), () => undefined)),
    );
  }

  #insist(call: NodeCall, onEnd: (outcome: Attempt) => void): void {
    this.#open += 1;
    this.#try(call, 1, (outcome) => {
      onEnd(outcome);
      this.#open -= 1;
    });
  }

  #try(call: NodeCall, tries: number, onEnd: (outcome: Attempt) => void): void {
    attempt(
      this.#simulation,
      anyNode(this.#simulation),
      () => call,
      PATIENCE,
      (outcome) => {
        if (tries >= TRY_LIMIT || !isWorthRepeating(outcome)) {
          onEnd(outcome);
          return;
        }
        this.#simulation.queue.after(pauseAfter(outcome), () => this.#try(call, tries + 1, onEnd));
      },
    );
  }
}

function isWorthRepeating(outcome: Attempt): boolean {
  if (outcome.kind === 'lost') return true;
  return outcome.kind === 'failed' && retryAfterOf(outcome.failure) !== null;
}

function planIdOf(outcome: Attempt): string | undefined {
  if (outcome.kind !== 'done' || outcome.body.kind !== 'operator') return undefined;
  const planId = outcome.body.document.plan_id;
  return typeof planId === 'string' ? planId : undefined;
}
