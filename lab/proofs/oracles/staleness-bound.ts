/** No sample is handed over that weights older than the intent's bound produced. */
import type { AccountName, ModelName } from '../../../src/core/identity.js';
import type { Milliseconds } from '../../../src/core/units.js';
import type { NodeCall, StepPage } from '../../../src/node/calls.js';
import type { Observation } from '../../simulation/observation.js';
import { Oracle } from '../oracle.js';
import { CallLog, pageOf, stepName } from './call-log.js';
import { ConfigurationLog } from './configuration-log.js';

/** How old a node's knowledge of the newest version may be: the freshness bound. */
export const FRESHNESS_BOUND: Milliseconds = 6_000;

interface StepRecord {
  readonly name: string;
  readonly model: ModelName;
  /** Latest time at which the trainer asked for more and was told that there was none yet. */
  notHandedOverAt: Milliseconds;
  readonly handedOver: Set<number>;
}

/**
 * Compares the versions of each sample with the newest version published a freshness bound before
 * its hand-over. A sample is handed over when it gets its position, which an onlooker doesn't see;
 * but a read that returned all there was shows that it had not happened when the read was asked
 * for. Reading a position again gives the same bytes and is no new hand-over.
 */
export class StalenessBoundOracle extends Oracle {
  readonly #calls = new CallLog();
  readonly #configuration = new ConfigurationLog();
  readonly #steps = new Map<string, StepRecord>();
  readonly #askedAt = new Map<string, Milliseconds>();

  override observe(observation: Observation): void {
    this.#calls.observe(observation);
    this.#configuration.observe(observation);
    if (observation.kind === 'call') {
      this.#askedAt.set(observation.callId, observation.at);
      if (observation.call.kind === 'step-submit') this.#begin(observation.at, observation.call);
    }
    if (observation.kind !== 'reply-sent') return;
    const page = pageOf(observation.reply);
    const call = this.#calls.call(observation.callId);
    if (page === undefined || call?.kind !== 'step-read') return;
    const step = this.#steps.get(stepName(call.account, page.stepId));
    if (step === undefined) return;
    this.#judge(observation.at, call.account, step, page);
    const tookAll = page.samples.length < call.limit;
    const askedAt = this.#askedAt.get(observation.callId) ?? 0;
    if (tookAll) step.notHandedOverAt = Math.max(step.notHandedOverAt, askedAt);
  }

  #begin(at: Milliseconds, call: Extract<NodeCall, { readonly kind: 'step-submit' }>): void {
    const { account, stepId, model } = call;
    const name = stepName(account, stepId);
    if (this.#steps.has(name)) return;
    this.#steps.set(name, { name, model, notHandedOverAt: at, handedOver: new Set() });
  }

  #judge(at: Milliseconds, account: AccountName, step: StepRecord, page: StepPage): void {
    const known = step.notHandedOverAt - FRESHNESS_BOUND;
    const oldest = this.#oldestAllowed(account, step.model, known);
    for (const { position, result } of page.samples) {
      if (step.handedOver.has(position)) continue;
      step.handedOver.add(position);
      for (const { version } of result.segments) {
        this.compare(
          version >= oldest,
          at,
          () =>
            `${step.name}/${position}: version ${version}, but ${oldest} was the oldest allowed`,
        );
      }
    }
  }

  /** The most lenient of the bounds that were in force from a time on. */
  #oldestAllowed(account: AccountName, model: ModelName, time: Milliseconds): number {
    const newest = this.#configuration.newestVersion(model, time);
    const bounds = this.#configuration
      .trainerIntents(account, time)
      .filter((intent) => intent.model === model)
      .map((intent) =>
        Math.max(
          intent.minimumVersion,
          Math.min(newest, intent.maximumVersion ?? newest) - intent.stalenessBound,
        ),
      );
    return Math.min(...bounds);
  }
}
