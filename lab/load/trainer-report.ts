/** What a trainer received, as its oracle judged it. */
import { RefusalCounts } from './refusal-counts.js';

/** Counts of one trainer. */
export class TrainerReport extends RefusalCounts {
  steps = 0;
  closedSteps = 0;
  asked = 0;
  delivered = 0;
  /** Samples received under a second position. */
  twice = 0;
  /** Samples of steps that were not closed which never came. */
  lost = 0;
  /** Samples whose text is not that of their prompt, seed and versions. */
  wrongText = 0;
  /** Samples that were different when they were read again. */
  changed = 0;
  /** Samples with a token older than the bound. */
  tooOld = 0;
  /** Samples made by more than one version. */
  spanning = 0;
  idleMilliseconds = 0;
  totalMilliseconds = 0;
  readonly versions = new Set<number>();
  readonly stalenessVersions: number[] = [];
  readonly stalenessMilliseconds: number[] = [];

  /** Share of the time the trainer waited for samples, in `[0, 1]`. */
  get idleShare(): number {
    return this.totalMilliseconds === 0 ? 0 : this.idleMilliseconds / this.totalMilliseconds;
  }

  /** Whether all promises held. */
  get holds(): boolean {
    const faults = [this.twice, this.lost, this.wrongText, this.changed, this.tooOld];
    return faults.every((count) => count === 0) && this.delivered > 0;
  }
}
