/** Load of the workers whose home is this node: collects reports and counts, and publishes the load. */
import type { NodeIdentity, WorkerId } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerRecord, WorkerReport } from '../platform/worker.js';
import { HomeWorkers } from './home-workers.js';
import { LoadPublisher, type LoadPush } from './load-publisher.js';
import type { WorkerLoad } from './messages.js';
import type { OutstandingCounts } from './worker-candidate.js';
import type { WorkerEntries } from './worker-entries.js';
import type { WorkerEntry } from './worker-entry.js';

export interface HomeLoadsOptions {
  readonly random: RandomSource;
  readonly entries: WorkerEntries;
  /** Whether this node is a worker's home. */
  readonly isHome: (worker: WorkerId) => boolean;
  readonly pollInterval: Milliseconds;
  readonly pushInterval: Milliseconds;
  readonly subscriptionTimeout: Milliseconds;
}

export class HomeLoads {
  readonly #entries: WorkerEntries;
  readonly #isHome: (worker: WorkerId) => boolean;
  readonly #workers: HomeWorkers;
  readonly #publisher: LoadPublisher;

  constructor(options: HomeLoadsOptions) {
    const { random, pollInterval, pushInterval, subscriptionTimeout } = options;
    this.#entries = options.entries;
    this.#isHome = options.isHome;
    this.#workers = new HomeWorkers({ random, pollInterval });
    this.#publisher = new LoadPublisher({
      pushInterval,
      subscriptionTimeout,
      loadOf: (worker, now) => this.#loadOf(worker, now),
    });
  }

  get workers(): readonly WorkerRecord[] {
    return this.#workers.workers;
  }

  replace(records: readonly WorkerRecord[], now: Milliseconds): void {
    this.#workers.replace(records, now);
  }

  reportOf(worker: WorkerId): WorkerReport | undefined {
    return this.#workers.report(worker);
  }

  /** Handles a subscription; returns the push that answers it. */
  subscribe(
    from: NodeIdentity,
    workers: readonly WorkerId[],
    lastSequence: number,
    now: Milliseconds,
  ): LoadPush | undefined {
    return this.#publisher.subscribe(from, workers, lastSequence, now);
  }

  /** Applies the report of an engine. */
  recordReport(report: WorkerReport, now: Milliseconds): void {
    const entry = this.#ownEntry(report.worker);
    if (entry === undefined) return;
    this.#workers.recordReport(report, now);
    entry.health = 'healthy';
    entry.applyReport(report, now);
    this.#entries.refresh(entry, now);
    this.publishIfChanged(entry, now);
  }

  recordFailedPoll(worker: WorkerId, now: Milliseconds): void {
    const entry = this.#ownEntry(worker);
    if (entry !== undefined && this.#workers.recordFailure(worker))
      this.#setUnreachable(entry, now);
  }

  /** Applies the counts of the admission control. */
  recordCounts(worker: WorkerId, counts: OutstandingCounts, now: Milliseconds): void {
    const entry = this.#ownEntry(worker);
    if (entry === undefined) return;
    entry.applyCounts(counts);
    this.publishIfChanged(entry, now);
  }

  /** Schedules a push of the worker's load if it differs enough from the published one. */
  publishIfChanged(entry: WorkerEntry, now: Milliseconds): void {
    if (this.#workers.updatePublished(entry.toLoad(now), entry.slots)) {
      this.#publisher.markChanged(entry.record.worker);
    }
  }

  /** Schedules a push of the worker's load after a change of its state. */
  schedulePush(worker: WorkerId): void {
    if (this.#isHome(worker)) this.#publisher.markChanged(worker);
  }

  duePolls(now: Milliseconds): readonly WorkerRecord[] {
    return this.#workers.duePolls(now);
  }

  duePushes(now: Milliseconds): readonly LoadPush[] {
    return this.#publisher.duePushes(now);
  }

  /** Removes expired subscriptions and marks unresponsive workers as unreachable. */
  sweep(now: Milliseconds): void {
    this.#publisher.expire(now);
    for (const worker of this.#workers.unresponsive(now)) {
      const entry = this.#ownEntry(worker);
      if (entry !== undefined && entry.health !== 'unreachable') this.#setUnreachable(entry, now);
    }
  }

  #ownEntry(worker: WorkerId): WorkerEntry | undefined {
    return this.#isHome(worker) ? this.#entries.get(worker) : undefined;
  }

  #loadOf(worker: WorkerId, now: Milliseconds): WorkerLoad | undefined {
    return this.#ownEntry(worker)?.toLoad(now);
  }

  #setUnreachable(entry: WorkerEntry, now: Milliseconds): void {
    entry.health = 'unreachable';
    this.#entries.refresh(entry, now);
    this.publishIfChanged(entry, now);
  }
}
