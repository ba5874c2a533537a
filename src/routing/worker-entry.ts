/** The directory's own record of one worker: the candidate that policies see, kept up to date. */
import type { NodeRecord } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { WorkerRecord, WorkerReport } from '../platform/worker.js';
import type { WorkerHealth, WorkerLoad } from './messages.js';
import { createOutcomeHistory, type OutcomeHistory } from './outlier-detector.js';
import type { OutstandingCounts, WorkerCandidate, WorkerState } from './worker-candidate.js';

/** One worker as this node knows it. */
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
  /** Machine list or operator say that it goes away. */
  withdrawn = false;
  /** The engine says so itself, here or at its home. */
  saysLeaving = false;
  /** Health as its home sees it. */
  health: WorkerHealth = 'healthy';
  /** When its load was last known to be right. */
  heardAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** When the first of `sentSinceUpdate` was sent. */
  sentAt: Milliseconds = 0;
  /** Whether admission tells the counts; otherwise the engine's report stands in for them. */
  counted = false;
  readonly outcomes: OutcomeHistory = createOutcomeHistory();

  constructor(record: WorkerRecord, home: NodeRecord) {
    this.record = record;
    this.home = home;
    this.slots = record.slots;
  }

  /** Whether any source says that the worker goes away. */
  get isLeaving(): boolean {
    return this.withdrawn || this.saysLeaving;
  }

  /** The state that follows from all that is known. */
  stateAt(now: Milliseconds, staleAfter: Milliseconds): WorkerState {
    if (this.isLeaving) return 'leaving';
    if (this.health === 'unreachable') return 'unreachable';
    if (this.outcomes.ejectedUntil > now || this.health === 'failing') return 'ejected';
    if (now - this.heardAt > staleAfter) return 'connecting';
    return 'in-service';
  }

  /** Takes in what the worker's home tells. */
  takeLoad(load: WorkerLoad, now: Milliseconds): void {
    this.saysLeaving = load.leaving;
    this.health = load.health;
    if (load.activeVersion === null) return;
    this.outstanding = load.outstanding;
    this.interactiveOutstanding = load.interactiveOutstanding;
    this.queueFree = load.queueFree;
    this.reportedLoad = load.reportedLoad;
    this.activeVersion = load.activeVersion;
    this.loadedVersions = load.loadedVersions;
    this.heardAt = now;
    this.sentSinceUpdate = 0;
  }

  /** Takes in the engine's own report, at its home. */
  takeReport(report: WorkerReport, now: Milliseconds): void {
    this.reportedLoad = report.running + report.waiting;
    this.activeVersion = report.activeVersion;
    this.loadedVersions = report.loadedVersions;
    this.saysLeaving = report.leaving;
    this.heardAt = now;
    if (this.counted) return;
    this.outstanding = this.reportedLoad;
    this.queueFree = Math.max(0, this.slots - this.reportedLoad);
    this.sentSinceUpdate = 0;
  }

  /** Takes in the counts of the home's admission. */
  takeCounts(counts: OutstandingCounts): void {
    this.counted = true;
    this.outstanding = counts.outstanding;
    this.interactiveOutstanding = counts.interactiveOutstanding;
    this.queueFree = counts.queueFree;
    this.sentSinceUpdate = 0;
  }

  /** Notes a dispatch of this node. */
  noteSent(now: Milliseconds): void {
    if (this.sentSinceUpdate === 0) this.sentAt = now;
    this.sentSinceUpdate += 1;
  }

  /** Forgets the load: the worker is `connecting` until its home tells of it. */
  forgetLoad(): void {
    this.activeVersion = undefined;
    this.heardAt = Number.NEGATIVE_INFINITY;
  }

  /** What the home publishes. */
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
