/** A stand-in for the key-value service in simulated time: one store, outages, lost answers. */
import type { RandomSource } from '../../src/core/random.js';
import type {
  KeyValueEntry,
  KeyValueOperation,
  KeyValueResult,
} from '../../src/platform/key-value.js';

/** What the service does wrong; shares in `[0, 1]`. */
export interface KeyValueFaults {
  isDown: boolean;
  /** Share of transactions that take effect although the answer is lost. */
  lostAnswers: number;
}

/** The store and its faults. */
export class SimulatedKeyValue {
  readonly faults: KeyValueFaults = { isDown: false, lostAnswers: 0 };
  /** Called with each key written. */
  onWrite: (entry: KeyValueEntry) => void = () => {};
  readonly #entries = new Map<string, KeyValueEntry>();
  readonly #random: RandomSource;
  #revision = 0;
  requests = 0;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** All entries, for a node that starts. */
  entries(): Iterable<KeyValueEntry> {
    return this.#entries.values();
  }

  /** Carries out one request. */
  execute(operation: KeyValueOperation): KeyValueResult {
    this.requests += 1;
    if (this.faults.isDown) return failed(false);
    if (operation.kind === 'range') {
      const entry = this.#entries.get(operation.key);
      const entries = entry === undefined ? [] : [entry];
      return { kind: 'range', revision: this.#revision, entries };
    }
    const succeeded = operation.compares.every(
      ({ key, modRevision }) => (this.#entries.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (succeeded) this.#apply(operation.writes);
    if (this.#random.fraction() < this.faults.lostAnswers) return failed(true);
    return { kind: 'transaction', succeeded, revision: this.#revision };
  }

  #apply(writes: Extract<KeyValueOperation, { kind: 'transaction' }>['writes']): void {
    this.#revision += 1;
    for (const write of writes) {
      if (write.kind === 'delete') {
        this.#entries.delete(write.key);
        continue;
      }
      const entry = { key: write.key, value: write.value, modRevision: this.#revision };
      this.#entries.set(write.key, entry);
      this.onWrite(entry);
    }
  }
}

function failed(mayHaveApplied: boolean): KeyValueResult {
  return { kind: 'failed', reason: 'unavailable', mayHaveApplied, retryAfter: 500 };
}
