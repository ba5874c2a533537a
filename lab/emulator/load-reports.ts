/** Load reports of an emulated engine, published once a period: what is read may be that old. */
import type { Milliseconds } from '../../src/core/units.js';
import type { WorkerReport } from '../../src/platform/worker.js';

/** The reports of one engine. */
export class LoadReports {
  private published: WorkerReport;
  private publishedPeriod = Number.NEGATIVE_INFINITY;

  /**
   * @param lag length of a period; 0 for reports that are always true
   * @param current tells the state at the time of the call
   */
  constructor(
    private readonly lag: Milliseconds,
    private readonly current: () => WorkerReport,
  ) {
    this.published = current();
  }

  /** Publishes the state before a change when a period has ended since. */
  publishDue(now: Milliseconds): void {
    if (this.lag <= 0) return;
    const period = Math.floor(now / this.lag);
    if (period <= this.publishedPeriod) return;
    this.publishedPeriod = period;
    this.published = this.current();
  }

  /** Publishes at once, as a process does at its start. */
  restart(now: Milliseconds): void {
    this.publishedPeriod = Number.NEGATIVE_INFINITY;
    this.publishDue(now);
  }

  /** The report as others see it. */
  read(): WorkerReport {
    return this.lag > 0 ? this.published : this.current();
  }
}
