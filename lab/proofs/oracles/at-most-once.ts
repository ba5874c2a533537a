/** A request marked as not repeatable runs at most once. */
import type { Observation } from '../../simulation/observation.js';
import { Oracle } from '../oracle.js';

/** Counts how often engines accepted each request that callers marked as not repeatable. */
export class AtMostOnceOracle extends Oracle {
  readonly #prompts = new Set<string>();
  readonly #runs = new Map<string, number>();

  override observe(observation: Observation): void {
    if (observation.kind === 'call' && observation.call.kind === 'generate') {
      const { prompt, repeatable } = observation.call;
      if (!repeatable) this.#prompts.add(prompt);
    }
    if (observation.kind !== 'engine-accepted') return;
    const { prompt } = observation.request;
    if (!this.#prompts.has(prompt)) return;
    const runs = (this.#runs.get(prompt) ?? 0) + 1;
    this.#runs.set(prompt, runs);
    this.compare(runs === 1, observation.at, () => `"${prompt}" ran ${runs} times`);
  }
}
