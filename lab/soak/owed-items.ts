/** Which items of accepted jobs are at no worker, and since when. */
import type { Milliseconds } from '../../src/core/units.js';

/** An item of an accepted job that has not ended. */
interface OwedItem {
  /** Requests for the item or its score at workers. */
  running: number;
  /** When it was accepted, or its last request left a worker. */
  idleSince: Milliseconds;
}

/** An item that has been at no worker for too long. */
export interface LeftOutItem {
  readonly item: string;
  readonly idle: Milliseconds;
}

/** Keeps the items that are owed. */
export class OwedItems {
  private readonly owed = new Map<string, OwedItem>();
  private readonly itemsOfJobs = new Map<string, readonly string[]>();

  constructor(private readonly now: () => Milliseconds) {}

  /** A job was accepted, perhaps again. */
  noteAccepted(job: string, items: readonly string[]): void {
    if (this.itemsOfJobs.has(job)) return;
    this.itemsOfJobs.set(job, items);
    for (const item of items) this.owed.set(item, { running: 0, idleSince: this.now() });
  }

  /** The end of a job was asked for or acknowledged: nothing of it is owed. */
  noteEnded(job: string): void {
    for (const item of this.itemsOfJobs.get(job) ?? []) this.owed.delete(item);
  }

  /** A worker took the item or the request for its score. */
  noteStarted(item: string): void {
    const owed = this.owed.get(item);
    if (owed !== undefined) owed.running += 1;
  }

  /** A worker is done with a request that it took, in whatever way. */
  noteLeft(item: string): void {
    const owed = this.owed.get(item);
    if (owed === undefined) return;
    owed.running = Math.max(0, owed.running - 1);
    owed.idleSince = this.now();
  }

  /** Workers have done all for the item, or its result was read. */
  noteDone(item: string): void {
    this.owed.delete(item);
  }

  /** Items that have been at no worker for longer than `limit`, counted from `since` at the earliest. */
  leftOut(since: Milliseconds, limit: Milliseconds): LeftOutItem[] {
    const now = this.now();
    return [...this.owed]
      .filter(([, { running }]) => running === 0)
      .map(([item, { idleSince }]) => ({ item, idle: now - Math.max(since, idleSince) }))
      .filter(({ idle }) => idle > limit);
  }
}
