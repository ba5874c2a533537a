/** The workers whose home this node is: when to poll them, and what they last said. */
import type { WorkerId } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerRecord, WorkerReport } from '../platform/worker.js';
import type { WorkerLoad } from './messages.js';

/** Settings of polling. */
export interface HomeWorkersOptions {
  readonly random: RandomSource;
  /** Time between two polls of one worker. */
  readonly pollInterval: Milliseconds;
}

interface HomeWorker {
  record: WorkerRecord;
  pollAt: Milliseconds;
  failures: number;
  answeredAt: Milliseconds;
  report: WorkerReport | undefined;
  published: WorkerLoad | undefined;
}

/** Failed polls in a row that make a worker unreachable. */
const UNREACHABLE_FAILURES = 2;

/** Time without an answer to any poll after which a worker is silent. */
const SILENCE_LIMIT: Milliseconds = 2_000;

/** Counts are published when they move by this share of the slots, or across full. */
const PUBLISHED_STEP = 1 / 8;

/** Polling state of this node's own workers. */
export class HomeWorkers {
  readonly #options: HomeWorkersOptions;
  readonly #workers = new Map<WorkerId, HomeWorker>();
  #records: readonly WorkerRecord[] = [];

  constructor(options: HomeWorkersOptions) {
    this.#options = options;
  }

  /** Records of the workers. */
  get workers(): readonly WorkerRecord[] {
    return this.#records;
  }

  /** Sets the workers; first polls of new ones are spread over one interval. */
  replace(records: readonly WorkerRecord[], now: Milliseconds): void {
    this.#records = records;
    const names = new Set(records.map((record) => record.worker));
    for (const name of this.#workers.keys()) if (!names.has(name)) this.#workers.delete(name);
    for (const record of records) {
      const known = this.#workers.get(record.worker);
      if (known !== undefined) known.record = record;
      else this.#add(record, now);
    }
  }

  /** Workers to be polled now. */
  duePolls(now: Milliseconds): readonly WorkerRecord[] {
    const due: WorkerRecord[] = [];
    for (const worker of this.#workers.values()) {
      if (worker.pollAt > now) continue;
      worker.pollAt = Math.max(worker.pollAt + this.#options.pollInterval, now);
      due.push(worker.record);
    }
    return due;
  }

  /** Takes in the answer to a poll. */
  answered(report: WorkerReport, now: Milliseconds): void {
    const worker = this.#workers.get(report.worker);
    if (worker === undefined) return;
    worker.report = report;
    worker.failures = 0;
    worker.answeredAt = now;
  }

  /** Takes in a failed poll; true where the worker counts as unreachable. */
  failed(name: WorkerId): boolean {
    const worker = this.#workers.get(name);
    if (worker === undefined) return false;
    worker.failures += 1;
    return worker.failures >= UNREACHABLE_FAILURES;
  }

  /** Workers that have answered none of the last polls, whether or not these failed. */
  silent(now: Milliseconds): readonly WorkerId[] {
    const silent: WorkerId[] = [];
    for (const [name, worker] of this.#workers) {
      if (now - worker.answeredAt > SILENCE_LIMIT) silent.push(name);
    }
    return silent;
  }

  /** The last report of a worker. */
  report(name: WorkerId): WorkerReport | undefined {
    return this.#workers.get(name)?.report;
  }

  /** Whether a load differs enough from the published one; then it becomes the published one. */
  noteLoad(load: WorkerLoad, slots: number): boolean {
    const worker = this.#workers.get(load.worker);
    if (worker === undefined) return false;
    if (worker.published !== undefined && !isNews(worker.published, load, slots)) return false;
    worker.published = load;
    return true;
  }

  #add(record: WorkerRecord, now: Milliseconds): void {
    const delay = this.#options.random.integer(Math.max(1, this.#options.pollInterval));
    this.#workers.set(record.worker, {
      record,
      pollAt: now + delay,
      failures: 0,
      answeredAt: now,
      report: undefined,
      published: undefined,
    });
  }
}

function isNews(before: WorkerLoad, after: WorkerLoad, slots: number): boolean {
  if (before.activeVersion !== after.activeVersion) return true;
  if (before.leaving !== after.leaving || before.health !== after.health) return true;
  if ((before.queueFree === 0) !== (after.queueFree === 0)) return true;
  if (before.loadedVersions.join() !== after.loadedVersions.join()) return true;
  const step = Math.max(1, Math.floor(slots * PUBLISHED_STEP));
  return (
    Math.abs(before.outstanding - after.outstanding) >= step ||
    Math.abs(before.interactiveOutstanding - after.interactiveOutstanding) >= step ||
    Math.abs(before.reportedLoad - after.reportedLoad) >= step
  );
}
