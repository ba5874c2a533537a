/** A worker that is leaving receives no new work after a few seconds. */
import { type DrainRecord, FEED_PREFIXES } from '../../../src/config-feed/configuration.js';
import type { WorkerId } from '../../../src/core/identity.js';
import type { Milliseconds } from '../../../src/core/units.js';
import type { Observation } from '../../simulation/observation.js';
import { decodeRecord } from '../../simulation/record-encoding.js';
import { Oracle } from '../oracle.js';

/** How long after the first sign a leaving worker may still be given work. */
export const DRAIN_LIMIT: Milliseconds = 3_000;

/** How much longer where a node's configuration or the machine list may lag by a fault. */
export const FAULT_ALLOWANCE: Milliseconds = 6_000;

/** How long after a fault its effects may still be felt. */
const FAULT_MEMORY: Milliseconds = 15_000;

/** Compares the time of each acceptance with the first sign that the worker is leaving. */
export class DrainOracle extends Oracle {
  /** When each present sign of a worker's leaving was given, by worker and source. */
  readonly #signs = new Map<WorkerId, Map<string, Milliseconds>>();
  #lastFault = Number.NEGATIVE_INFINITY;

  override observe(observation: Observation): void {
    switch (observation.kind) {
      case 'worker-leaving':
        this.#sign(observation.worker, observation.sign, observation.leaving, observation.at);
        break;
      case 'key-value-changed':
        this.#noteDrain(observation.at, observation.key, observation.value);
        break;
      case 'engine-crashed':
        // A process that is down shows no sign; it shows it again when it is started.
        this.#signs.get(observation.worker)?.delete('report');
        break;
      case 'fault':
        if (observation.name !== 'worker-leaves') this.#lastFault = observation.at;
        break;
      case 'engine-accepted':
        this.#judge(observation.at, observation.worker);
        break;
      default:
        break;
    }
  }

  #noteDrain(at: Milliseconds, key: string, value: string | null): void {
    const prefix = `${FEED_PREFIXES.drains}worker/`;
    if (!key.startsWith(prefix)) return;
    const worker = key.slice(prefix.length);
    const drained = value !== null && decodeRecord<DrainRecord>(value).target.kind === 'worker';
    this.#sign(worker, 'operator', drained, at);
  }

  #sign(worker: WorkerId, source: string, leaving: boolean, at: Milliseconds): void {
    const signs = this.#signs.get(worker) ?? new Map<string, Milliseconds>();
    if (leaving) signs.set(source, Math.min(at, signs.get(source) ?? at));
    else signs.delete(source);
    this.#signs.set(worker, signs);
  }

  #judge(at: Milliseconds, worker: WorkerId): void {
    const signs = this.#signs.get(worker);
    if (signs === undefined || signs.size === 0) return;
    const since = at - Math.min(...signs.values());
    const disturbed = at - this.#lastFault < FAULT_MEMORY;
    const limit = DRAIN_LIMIT + (disturbed ? FAULT_ALLOWANCE : 0);
    this.compare(since <= limit, at, () => `${worker} was given work ${since} ms after the sign`);
  }
}
