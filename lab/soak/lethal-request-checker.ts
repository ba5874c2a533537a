/** Counts the workers that end under each request that ends them. */
import type { Milliseconds } from '../../src/core/units.js';

/** Workers that may end under one request before all gateways have to know it, and the time for that. */
const MOST_ENDED = 3;
const QUARANTINE_LIMIT: Milliseconds = 3_000;

/** Workers that may still begin it after that time. */
const MOST_LATE_RUNS = 3;

/** Keeps the runs of such requests. */
export class LethalRequestChecker {
  /** When workers began to run a request, by its path. */
  private readonly runs = new Map<string, Milliseconds[]>();
  private mostBeforeLoss = 0;

  /** A worker begins to run a request; tells whether that is still allowed. */
  begin(path: string, now: Milliseconds): boolean {
    const runs = this.runs.get(path) ?? [];
    this.runs.set(path, runs);
    runs.push(now);
    const knownAt = (runs[MOST_ENDED - 1] ?? Number.POSITIVE_INFINITY) + QUARANTINE_LIMIT;
    return runs.filter((at) => at > knownAt).length <= MOST_LATE_RUNS;
  }

  /**
   * All gateways lost their memory. Requests whose crashes could not all be stored, because the store
   * was away from some gateways since a moment, are not known any more and count anew.
   */
  noteMemoryLost(storeAwaySince: Milliseconds): void {
    this.mostBeforeLoss = this.mostEndedUnderOne;
    for (const [path, runs] of this.runs) {
      const quarantinedAt = runs[MOST_ENDED - 1] ?? Number.NEGATIVE_INFINITY;
      if (quarantinedAt >= storeAwaySince) this.runs.delete(path);
    }
  }

  /** Workers that began to run a request. */
  runsOf(path: string): number {
    return this.runs.get(path)?.length ?? 0;
  }

  /** Most workers that ended under one request. */
  get mostEndedUnderOne(): number {
    return Math.max(this.mostBeforeLoss, ...[...this.runs.values()].map((runs) => runs.length));
  }
}
