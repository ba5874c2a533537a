/**
 * The changes that this node's own watch of one prefix reported lately, kept so that other nodes
 * can follow the prefix here instead of at the store.
 */
import type { Revision } from '../core/units.js';
import type { StoreChange, StoreWatchOutcome } from './shared-store.js';

/** Changes kept at most; a follower that is further behind asks the store itself. */
const MOST_CHANGES = 1_000;

/** An unbroken series of changes of one prefix. */
export class WatchLog {
  private changes: StoreChange[] = [];
  /** All changes after this revision are kept, up to `end`. */
  private begin: Revision;
  private end: Revision;

  constructor(after: Revision) {
    this.begin = after;
    this.end = after;
  }

  /** Revision up to which all changes are known. */
  get revision(): Revision {
    return this.end;
  }

  /** Takes in the outcome of a watch that asked for changes after a revision. */
  take(after: Revision, outcome: StoreWatchOutcome): void {
    if (outcome.kind === 'failed') return;
    // The watch began anew from a list, or lost its history: what came between is not known.
    if (after !== this.end || outcome.kind === 'compacted') {
      this.changes = [];
      this.begin = after;
      this.end = after;
    }
    if (outcome.kind === 'compacted') return;
    this.changes.push(...outcome.changes);
    this.end = Math.max(this.end, outcome.revision);
    this.dropOldest();
  }

  /** All changes after a revision; `undefined` where some of them are not kept. */
  changesAfter(after: Revision): readonly StoreChange[] | undefined {
    if (after < this.begin) return undefined;
    return this.changes.filter((change) => change.revision > after);
  }

  private dropOldest(): void {
    const excess = this.changes.length - MOST_CHANGES;
    if (excess <= 0) return;
    const dropped = this.changes.splice(0, excess);
    this.begin = Math.max(this.begin, dropped.at(-1)?.revision ?? this.begin);
  }
}
