/** The directory's records of workers, and the changes of their states. */
import type { NodeRecord, WorkerId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { WorkerState, WorkerStateChange } from './worker-candidate.js';
import { WorkerEntry } from './worker-entry.js';
import type { WorkerTopology } from './worker-topology.js';

/** Settings of the records. */
export interface WorkerEntriesOptions {
  /** Tells workers' homes, and which of them go away. */
  readonly topology: WorkerTopology;
  /** Time without news after which a worker counts as `connecting`. */
  readonly staleAfter: Milliseconds;
  /** Time for which an own dispatch is counted apart; then the home's count has it. */
  readonly sentLife: Milliseconds;
  /** Called on each change of a worker's state. */
  readonly onChange: (change: WorkerStateChange) => void;
}

/** States from which a worker returns with a slow start. */
const RETURN_STATES: ReadonlySet<WorkerState> = new Set(['ejected', 'leaving', 'unreachable']);

/** Records by worker. */
export class WorkerEntries {
  readonly #options: WorkerEntriesOptions;
  readonly #entries = new Map<WorkerId, WorkerEntry>();

  constructor(options: WorkerEntriesOptions) {
    this.#options = options;
  }

  /** The entry of a worker; `undefined` for one that is neither followed nor at home here. */
  get(worker: WorkerId): WorkerEntry | undefined {
    return this.#entries.get(worker);
  }

  /** Works out all that changes by time alone. */
  sweep(now: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      const isOld = now - entry.sentAt > this.#options.sentLife;
      if (entry.sentSinceUpdate > 0 && isOld) entry.sentSinceUpdate = 0;
      this.refresh(entry, now);
    }
  }

  /**
   * Makes or updates the records of workers and adds their names to `kept`; what was known stays
   * until it is stale. Workers of a zone without live nodes have no home and are left out.
   */
  keepAll(
    records: readonly WorkerRecord[],
    kept: Set<WorkerId>,
    now: Milliseconds,
  ): readonly WorkerEntry[] {
    const entries: WorkerEntry[] = [];
    for (const record of records) {
      const home = this.#options.topology.homeOf(record.worker);
      if (home === undefined) continue;
      kept.add(record.worker);
      entries.push(this.#keep(record, home, now));
    }
    return entries;
  }

  /** Drops the records of all other workers. */
  retain(kept: ReadonlySet<WorkerId>): void {
    for (const worker of this.#entries.keys()) if (!kept.has(worker)) this.#entries.delete(worker);
  }

  /** Works out a worker's state anew and tells of a change. */
  refresh(entry: WorkerEntry, now: Milliseconds): void {
    const from = entry.state;
    const to = entry.stateAt(now, this.#options.staleAfter);
    if (from === to) return;
    entry.state = to;
    if (RETURN_STATES.has(from)) entry.returnedAt = now;
    this.#options.onChange({ worker: entry.record.worker, from, to });
  }

  #keep(record: WorkerRecord, home: NodeRecord, now: Milliseconds): WorkerEntry {
    const entry = this.#entries.get(record.worker) ?? new WorkerEntry(record, home);
    this.#entries.set(record.worker, entry);
    if (entry.home.node !== home.node) entry.counted = false;
    entry.record = record;
    entry.slots = record.slots;
    entry.home = home;
    entry.withdrawn = this.#options.topology.isWithdrawn(record.worker);
    this.refresh(entry, now);
    return entry;
  }
}
