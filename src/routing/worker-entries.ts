/** The entries of the worker directory; reports changes of their states. */
import type { NodeRecord, WorkerId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { WorkerState, WorkerStateChange } from './worker-candidate.js';
import { WorkerEntry } from './worker-entry.js';
import type { WorkerTopology } from './worker-topology.js';

export interface WorkerEntriesOptions {
  /** Source of the homes and of the withdrawn workers. */
  readonly topology: WorkerTopology;
  /** Time without an update after which a worker is `connecting`. */
  readonly staleAfter: Milliseconds;
  /** Time after which the counts of the home include the dispatches of this node. */
  readonly sentCountTimeout: Milliseconds;
  readonly onChange: (change: WorkerStateChange) => void;
}

/** States after which a worker gets a slow start. */
const RETURN_STATES: ReadonlySet<WorkerState> = new Set(['ejected', 'leaving', 'unreachable']);

export class WorkerEntries {
  readonly #options: WorkerEntriesOptions;
  readonly #entries = new Map<WorkerId, WorkerEntry>();

  constructor(options: WorkerEntriesOptions) {
    this.#options = options;
  }

  /** The entry of a worker; `undefined` for one that is neither followed nor polled by this node. */
  get(worker: WorkerId): WorkerEntry | undefined {
    return this.#entries.get(worker);
  }

  /** Updates what depends on elapsed time. */
  sweep(now: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      const isOld = now - entry.sentAt > this.#options.sentCountTimeout;
      if (entry.sentSinceUpdate > 0 && isOld) entry.sentSinceUpdate = 0;
      this.refresh(entry, now);
    }
  }

  /**
   * Creates or updates the entries of workers and adds their names to `retained`; existing load stays
   * valid until it is stale. Skips workers of a zone without live nodes, as they have no home.
   */
  upsertAll(
    records: readonly WorkerRecord[],
    retained: Set<WorkerId>,
    now: Milliseconds,
  ): readonly WorkerEntry[] {
    const entries: WorkerEntry[] = [];
    for (const record of records) {
      const home = this.#options.topology.homeOf(record.worker);
      if (home === undefined) continue;
      retained.add(record.worker);
      entries.push(this.#upsert(record, home, now));
    }
    return entries;
  }

  /** Removes the entries of all other workers. */
  retain(retained: ReadonlySet<WorkerId>): void {
    for (const worker of this.#entries.keys())
      if (!retained.has(worker)) this.#entries.delete(worker);
  }

  /** Recomputes the state of a worker and reports a change. */
  refresh(entry: WorkerEntry, now: Milliseconds): void {
    const from = entry.state;
    const to = entry.stateAt(now, this.#options.staleAfter);
    if (from === to) return;
    entry.state = to;
    if (RETURN_STATES.has(from)) entry.returnedAt = now;
    this.#options.onChange({ worker: entry.record.worker, from, to });
  }

  #upsert(record: WorkerRecord, home: NodeRecord, now: Milliseconds): WorkerEntry {
    const entry = this.#entries.get(record.worker) ?? new WorkerEntry(record, home);
    this.#entries.set(record.worker, entry);
    if (entry.home.node !== home.node) entry.hasAdmissionCounts = false;
    entry.record = record;
    entry.slots = record.slots;
    entry.home = home;
    entry.withdrawn = this.#options.topology.isWithdrawn(record.worker);
    this.refresh(entry, now);
    return entry;
  }
}
