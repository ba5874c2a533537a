/** Tells which workers are drained by operators. */
import type { DrainRecord } from '../config-feed/configuration.js';
import type { WorkerRecord } from '../platform/worker.js';

/** An immutable index of the drains of workers and zones; drains of nodes do not affect workers. */
export class DrainIndex {
  readonly #source: readonly DrainRecord[];
  readonly #workers: ReadonlySet<string>;
  readonly #zones: ReadonlySet<string>;

  constructor(drains: readonly DrainRecord[]) {
    this.#source = drains;
    this.#workers = namesOf(drains, 'worker');
    this.#zones = namesOf(drains, 'zone');
  }

  /** Whether the index was built from this array object, or both are empty. */
  isFor(drains: readonly DrainRecord[]): boolean {
    return drains === this.#source || (drains.length === 0 && this.#source.length === 0);
  }

  /** Whether a worker or its zone is drained. */
  covers(record: WorkerRecord): boolean {
    return this.#workers.has(record.worker) || this.#zones.has(record.zone);
  }

  /** The workers that are not drained; the same array object where there are no drains. */
  usable(records: readonly WorkerRecord[]): readonly WorkerRecord[] {
    if (this.#workers.size === 0 && this.#zones.size === 0) return records;
    return records.filter((record) => !this.covers(record));
  }
}

function namesOf(drains: readonly DrainRecord[], kind: 'worker' | 'zone'): ReadonlySet<string> {
  const targets = drains.map((drain) => drain.target);
  return new Set(targets.filter((target) => target.kind === kind).map((target) => target.name));
}
