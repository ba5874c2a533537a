/** No sample is handed over that weights older than the intent's bound produced. */
import type { AccountName, ModelName } from '../../../src/core/identity.js';
import type { Milliseconds } from '../../../src/core/units.js';
import type { StepPage } from '../../../src/node/calls.js';
import type { Observation } from '../../simulation/observation.js';
import { Oracle } from '../oracle.js';
import { CallLog, pageOf, stepName } from './call-log.js';
import { ConfigurationLog } from './configuration-log.js';

/** How old a node's knowledge of the newest version may be: the freshness bound. */
export const FRESHNESS_BOUND: Milliseconds = 6_000;

/**
 * Compares the versions of each sample, when a node first gives it away, with the newest version
 * published a freshness bound before. Reading the same position again later gives the same bytes
 * and is no new hand-over.
 */
export class StalenessBoundOracle extends Oracle {
  readonly #calls = new CallLog();
  readonly #configuration = new ConfigurationLog();
  readonly #models = new Map<string, ModelName>();
  readonly #handedOver = new Set<string>();

  override observe(observation: Observation): void {
    this.#calls.observe(observation);
    this.#configuration.observe(observation);
    if (observation.kind === 'call' && observation.call.kind === 'step-submit') {
      const { account, stepId, model } = observation.call;
      this.#models.set(stepName(account, stepId), model);
    }
    if (observation.kind !== 'reply-sent') return;
    const page = pageOf(observation.reply);
    const account = this.#calls.call(observation.callId)?.account;
    if (page !== undefined && account !== undefined) this.#judge(observation.at, account, page);
  }

  #judge(at: Milliseconds, account: AccountName, page: StepPage): void {
    const step = stepName(account, page.stepId);
    const model = this.#models.get(step) ?? '';
    const oldest = this.#oldestAllowed(account, model, at - FRESHNESS_BOUND);
    for (const { position, result } of page.samples) {
      const name = `${step}/${position}`;
      if (this.#handedOver.has(name)) continue;
      this.#handedOver.add(name);
      for (const { version } of result.segments) {
        this.compare(
          version >= oldest,
          at,
          () => `${name}: version ${version}, while ${oldest} was the oldest allowed`,
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
