/** The part of a node's directory that acts as home: reports and counts in, pushed loads out. */
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

/** Settings of the home part. */
export interface HomeLoadsOptions {
  readonly random: RandomSource;
  readonly entries: WorkerEntries;
  /** Whether this node is a worker's home. */
  readonly isHome: (worker: WorkerId) => boolean;
  readonly pollInterval: Milliseconds;
  readonly pushInterval: Milliseconds;
  readonly subscriptionLife: Milliseconds;
}

/** Loads of the workers whose home this node is. */
export class HomeLoads {
  readonly #entries: WorkerEntries;
  readonly #isHome: (worker: WorkerId) => boolean;
  readonly #workers: HomeWorkers;
  readonly #publisher: LoadPublisher;

  constructor(options: HomeLoadsOptions) {
    const { random, pollInterval, pushInterval, subscriptionLife } = options;
    this.#entries = options.entries;
    this.#isHome = options.isHome;
    this.#workers = new HomeWorkers({ random, pollInterval });
    this.#publisher = new LoadPublisher({
      pushInterval,
      subscriptionLife,
      loadOf: (worker, now) => this.#loadOf(worker, now),
    });
  }

  /** Records of the workers. */
  get workers(): readonly WorkerRecord[] {
    return this.#workers.workers;
  }

  /** Sets the workers. */
  replace(records: readonly WorkerRecord[], now: Milliseconds): void {
    this.#workers.replace(records, now);
  }

  /** The last report of a worker. */
  reportOf(worker: WorkerId): WorkerReport | undefined {
    return this.#workers.report(worker);
  }

  /** Takes in a subscription; the answer is a push. */
  subscribe(
    from: NodeIdentity,
    workers: readonly WorkerId[],
    lastSequence: number,
    now: Milliseconds,
  ): LoadPush | undefined {
    return this.#publisher.subscribe(from, workers, lastSequence, now);
  }

  /** Takes in an engine's report of itself. */
  takeReport(report: WorkerReport, now: Milliseconds): void {
    const entry = this.#ownEntry(report.worker);
    if (entry === undefined) return;
    this.#workers.answered(report, now);
    entry.health = 'healthy';
    entry.takeReport(report, now);
    this.#entries.refresh(entry, now);
    this.publishIfChanged(entry, now);
  }

  /** Takes in that a poll failed. */
  takeFailedPoll(worker: WorkerId, now: Milliseconds): void {
    const entry = this.#ownEntry(worker);
    if (entry !== undefined && this.#workers.failed(worker)) this.#setUnreachable(entry, now);
  }

  /** Takes in the counts of admission. */
  takeCounts(worker: WorkerId, counts: OutstandingCounts, now: Milliseconds): void {
    const entry = this.#ownEntry(worker);
    if (entry === undefined) return;
    entry.takeCounts(counts);
    this.publishIfChanged(entry, now);
  }

  /** Has a worker's load pushed if it differs enough from what was pushed last. */
  publishIfChanged(entry: WorkerEntry, now: Milliseconds): void {
    if (this.#workers.noteLoad(entry.toLoad(now), entry.slots)) {
      this.#publisher.markChanged(entry.record.worker);
    }
  }

  /** Has a worker's load pushed because its state changed here. */
  noteStateChange(worker: WorkerId): void {
    if (this.#isHome(worker)) this.#publisher.markChanged(worker);
  }

  /** Workers to be polled now. */
  duePolls(now: Milliseconds): readonly WorkerRecord[] {
    return this.#workers.duePolls(now);
  }

  /** Pushes that are due. */
  duePushes(now: Milliseconds): readonly LoadPush[] {
    return this.#publisher.tick(now);
  }

  /** Forgets old subscriptions, and notes workers that stopped answering. */
  sweep(now: Milliseconds): void {
    this.#publisher.expire(now);
    for (const worker of this.#workers.silent(now)) {
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
