/** The mutable entry of one worker in the directory; policies read it as `WorkerCandidate`. */
import type { NodeRecord } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { WorkerRecord, WorkerReport } from '../platform/worker.js';
import type { WorkerHealth, WorkerLoad } from './messages.js';
import { createOutcomeHistory, type OutcomeHistory } from './outlier-detector.js';
import type { OutstandingCounts, WorkerCandidate, WorkerState } from './worker-candidate.js';

export class WorkerEntry implements WorkerCandidate {
  record: WorkerRecord;
  home: NodeRecord;
  slots: number;
  state: WorkerState = 'connecting';
  outstanding = 0;
  interactiveOutstanding = 0;
  queueFree = 0;
  sentSinceUpdate = 0;
  reportedLoad = 0;
  activeVersion: WeightVersion | undefined;
  loadedVersions: readonly WeightVersion[] = [];
  returnedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** The machine list or an operator removes the worker. */
  withdrawn = false;
  /** The engine reports that it is leaving, to this node or to its home. */
  reportedLeaving = false;
  /** Health at its home. */
  health: WorkerHealth = 'healthy';
  /** When the load was last updated or confirmed. */
  loadUpdatedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** When the first dispatch in `sentSinceUpdate` was sent. */
  sentAt: Milliseconds = 0;
  /** Whether the counts come from admission control; otherwise from the engine's report. */
  hasAdmissionCounts = false;
  readonly outcomes: OutcomeHistory = createOutcomeHistory();

  constructor(record: WorkerRecord, home: NodeRecord) {
    this.record = record;
    this.home = home;
    this.slots = record.slots;
  }

  get isLeaving(): boolean {
    return this.withdrawn || this.reportedLeaving;
  }

  /** Computes the state from health, ejection and age of the load. */
  stateAt(now: Milliseconds, staleAfter: Milliseconds): WorkerState {
    if (this.isLeaving) return 'leaving';
    if (this.health === 'unreachable') return 'unreachable';
    if (this.outcomes.ejectedUntil > now || this.health === 'failing') return 'ejected';
    if (now - this.loadUpdatedAt > staleAfter) return 'connecting';
    return 'in-service';
  }

  /** Applies the load published by the worker's home. */
  applyLoad(load: WorkerLoad, now: Milliseconds): void {
    this.reportedLeaving = load.leaving;
    this.health = load.health;
    if (load.activeVersion === null) return;
    this.outstanding = load.outstanding;
    this.interactiveOutstanding = load.interactiveOutstanding;
    this.queueFree = load.queueFree;
    this.reportedLoad = load.reportedLoad;
    this.activeVersion = load.activeVersion;
    this.loadedVersions = load.loadedVersions;
    this.loadUpdatedAt = now;
    this.sentSinceUpdate = 0;
  }

  /** Applies the engine's report, at its home. */
  applyReport(report: WorkerReport, now: Milliseconds): void {
    this.reportedLoad = report.running + report.waiting;
    this.activeVersion = report.activeVersion;
    this.loadedVersions = report.loadedVersions;
    this.reportedLeaving = report.leaving;
    this.loadUpdatedAt = now;
    if (this.hasAdmissionCounts) return;
    this.outstanding = this.reportedLoad;
    this.queueFree = Math.max(0, this.slots - this.reportedLoad);
    this.sentSinceUpdate = 0;
  }

  /** Applies the counts of admission control, at its home. */
  applyCounts(counts: OutstandingCounts): void {
    this.hasAdmissionCounts = true;
    this.outstanding = counts.outstanding;
    this.interactiveOutstanding = counts.interactiveOutstanding;
    this.queueFree = counts.queueFree;
    this.sentSinceUpdate = 0;
  }

  recordDispatch(now: Milliseconds): void {
    if (this.sentSinceUpdate === 0) this.sentAt = now;
    this.sentSinceUpdate += 1;
  }

  /** Discards the load: the worker is `connecting` until its home publishes a new one. */
  discardLoad(): void {
    this.activeVersion = undefined;
    this.loadUpdatedAt = Number.NEGATIVE_INFINITY;
  }

  /** The load that the home publishes. */
  toLoad(now: Milliseconds): WorkerLoad {
    const failing = this.outcomes.ejectedUntil > now;
    return {
      worker: this.record.worker,
      outstanding: this.outstanding,
      interactiveOutstanding: this.interactiveOutstanding,
      queueFree: this.queueFree,
      reportedLoad: this.reportedLoad,
      activeVersion: this.activeVersion ?? null,
      loadedVersions: this.loadedVersions,
      leaving: this.isLeaving,
      health: this.health === 'healthy' && failing ? 'failing' : this.health,
    };
  }
}
