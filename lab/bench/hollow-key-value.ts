/**
 * A key-value service in simulated time for hollow fleets: ranges, watches with compaction, an
 * outage, slowness and a rate limit. It counts the requests it gets.
 */
import type { Milliseconds, Revision } from '../../src/core/units.js';
import type {
  KeyValueChange,
  KeyValueEntry,
  KeyValueOperation,
  KeyValueResult,
  KeyValueWatchEvent,
} from '../../src/platform/key-value.js';
import type { EventQueue } from '../simulation/event-queue.js';

const LATENCY: Milliseconds = 3;
const WATCH_LATENCY: Milliseconds = 2;

interface Watch {
  readonly prefix: string;
  readonly notify: (event: KeyValueWatchEvent) => void;
}

/** The simulated service; one instance serves a fleet. */
export class HollowKeyValue {
  private readonly entries = new Map<string, KeyValueEntry>();
  private readonly history: KeyValueChange[] = [];
  private readonly watches = new Map<string, Watch>();
  private compactedRevision: Revision = 0;
  revision: Revision = 1;
  /** Requests and watch starts so far. */
  requests = 0;
  /** What the service does with requests. */
  mode: 'up' | 'down' | 'rate-limited' = 'up';
  /** Further time a request takes. */
  slowness: Milliseconds = 0;

  constructor(private readonly queue: EventQueue) {}

  /** Writes a key, or deletes it; returns the revision of the change. */
  write(key: string, value: string | null): Revision {
    this.revision += 1;
    const change = { key, value, modRevision: this.revision };
    if (value === null) this.entries.delete(key);
    else this.entries.set(key, { key, value, modRevision: this.revision });
    this.history.push(change);
    const { revision } = this;
    for (const [id, watch] of this.watches) {
      if (!key.startsWith(watch.prefix)) continue;
      this.notify(id, { kind: 'changes', revision, changes: [change] });
    }
    return this.revision;
  }

  /** Forgets all history; watches that start below the present revision are lost. */
  compact(): void {
    this.compactedRevision = this.revision;
    this.history.length = 0;
  }

  /** Ends all watches, as when connections break. */
  breakWatches(): void {
    for (const id of [...this.watches.keys()]) this.lose(id, false);
  }

  /** Answers a range after the service's latency. */
  request(operation: KeyValueOperation, answer: (result: KeyValueResult) => void): void {
    this.requests += 1;
    const failure = this.failure();
    const result = failure ?? this.range(operation);
    const at = this.queue.now + (failure === null ? LATENCY / 2 + this.slowness : LATENCY);
    this.queue.at(at, () => answer(result));
  }

  /** Starts a watch; `id` is unique in the fleet. */
  watch(
    id: string,
    prefix: string,
    fromRevision: Revision,
    notify: (event: KeyValueWatchEvent) => void,
  ): void {
    this.requests += 1;
    this.watches.set(id, { prefix, notify });
    if (this.mode !== 'up' || fromRevision <= this.compactedRevision) {
      this.lose(id, this.mode === 'up');
      return;
    }
    const changes = this.history.filter(
      (change) => change.modRevision >= fromRevision && change.key.startsWith(prefix),
    );
    this.notify(id, { kind: 'changes', revision: this.revision, changes });
  }

  stopWatch(id: string): void {
    this.watches.delete(id);
  }

  private failure(): KeyValueResult | null {
    if (this.mode === 'up') return null;
    const reason = this.mode === 'down' ? 'unavailable' : 'rate-limited';
    return { kind: 'failed', reason, mayHaveApplied: false, retryAfter: 1_000 };
  }

  private range(operation: KeyValueOperation): KeyValueResult {
    if (operation.kind !== 'range') throw new Error('only ranges are simulated');
    const entries = [...this.entries.values()].filter(({ key }) =>
      operation.prefix ? key.startsWith(operation.key) : key === operation.key,
    );
    return { kind: 'range', revision: this.revision, entries };
  }

  private lose(id: string, compacted: boolean): void {
    this.notify(id, { kind: 'lost', compacted });
    this.queue.at(this.queue.now + WATCH_LATENCY, () => this.watches.delete(id));
  }

  private notify(id: string, event: KeyValueWatchEvent): void {
    this.queue.at(this.queue.now + WATCH_LATENCY, () => this.watches.get(id)?.notify(event));
  }
}
