/** Polling schedule and last report of the workers whose home is this node. */
import type { WorkerId } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerRecord, WorkerReport } from '../platform/worker.js';
import type { WorkerLoad } from './messages.js';

export interface HomeWorkersOptions {
  readonly random: RandomSource;
  /** Interval between polls of one worker. */
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

/** Consecutive failed polls. */
const UNREACHABLE_AFTER_FAILURES = 2;

/** Time since the last answered poll. */
const UNRESPONSIVE_AFTER: Milliseconds = 2_000;

/** Counts are published after a change of at least this share of the slots. */
const PUBLISH_THRESHOLD_SHARE = 1 / 8;

export class HomeWorkers {
  readonly #options: HomeWorkersOptions;
  readonly #workers = new Map<WorkerId, HomeWorker>();
  #records: readonly WorkerRecord[] = [];

  constructor(options: HomeWorkersOptions) {
    this.#options = options;
  }

  get workers(): readonly WorkerRecord[] {
    return this.#records;
  }

  /** Sets the workers; the first polls of new ones are spread over one interval. */
  replace(records: readonly WorkerRecord[], now: Milliseconds): void {
    this.#records = records;
    const names = new Set(records.map((record) => record.worker));
    for (const name of this.#workers.keys()) if (!names.has(name)) this.#workers.delete(name);
    for (const record of records) {
      const existing = this.#workers.get(record.worker);
      if (existing !== undefined) existing.record = record;
      else this.#add(record, now);
    }
  }

  /** Workers whose poll is due; schedules their next one. */
  duePolls(now: Milliseconds): readonly WorkerRecord[] {
    const due: WorkerRecord[] = [];
    for (const worker of this.#workers.values()) {
      if (worker.pollAt > now) continue;
      worker.pollAt = Math.max(worker.pollAt + this.#options.pollInterval, now);
      due.push(worker.record);
    }
    return due;
  }

  recordReport(report: WorkerReport, now: Milliseconds): void {
    const worker = this.#workers.get(report.worker);
    if (worker === undefined) return;
    worker.report = report;
    worker.failures = 0;
    worker.answeredAt = now;
  }

  /** Counts a failed poll; returns whether the worker is unreachable. */
  recordFailure(name: WorkerId): boolean {
    const worker = this.#workers.get(name);
    if (worker === undefined) return false;
    worker.failures += 1;
    return worker.failures >= UNREACHABLE_AFTER_FAILURES;
  }

  /** Workers that have not answered a poll for too long; their polls may be pending. */
  unresponsive(now: Milliseconds): readonly WorkerId[] {
    const unresponsive: WorkerId[] = [];
    for (const [name, worker] of this.#workers) {
      if (now - worker.answeredAt > UNRESPONSIVE_AFTER) unresponsive.push(name);
    }
    return unresponsive;
  }

  report(name: WorkerId): WorkerReport | undefined {
    return this.#workers.get(name)?.report;
  }

  /** Stores the load as published and returns true if it differs enough from the published one. */
  updatePublished(load: WorkerLoad, slots: number): boolean {
    const worker = this.#workers.get(load.worker);
    if (worker === undefined) return false;
    if (worker.published !== undefined && !isSignificantChange(worker.published, load, slots))
      return false;
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

function isSignificantChange(before: WorkerLoad, after: WorkerLoad, slots: number): boolean {
  if (before.activeVersion !== after.activeVersion) return true;
  if (before.leaving !== after.leaving || before.health !== after.health) return true;
  if ((before.queueFree === 0) !== (after.queueFree === 0)) return true;
  if (before.loadedVersions.join() !== after.loadedVersions.join()) return true;
  const threshold = Math.max(1, Math.floor(slots * PUBLISH_THRESHOLD_SHARE));
  return (
    Math.abs(before.outstanding - after.outstanding) >= threshold ||
    Math.abs(before.interactiveOutstanding - after.interactiveOutstanding) >= threshold ||
    Math.abs(before.reportedLoad - after.reportedLoad) >= threshold
  );
}
