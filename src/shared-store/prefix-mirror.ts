/**
 * In-memory copy of one prefix of the shared store and its recent changes, fed by this node's own
 * list and watch. Other nodes follow the prefix here instead of at the store.
 */
import type { Revision } from '../core/units.js';
import type { StoreChange, StoreItem } from './shared-store.js';

/** A follower that lags behind by more changes lists the prefix again. */
const MAX_RETAINED_CHANGES = 1_000;

/** All items under a prefix at one revision. */
export interface PrefixSnapshot {
  readonly items: readonly StoreItem[];
  readonly revision: Revision;
}

/** The items under one prefix and its recent changes, from which followers are answered. */
export class PrefixMirror {
  private items: Map<string, StoreItem>;
  private changes: StoreChange[] = [];
  /** Cached result of {@link snapshot}, shared by all callers until the next change. */
  private lastSnapshot: PrefixSnapshot | undefined;
  /** `changes` is complete after this revision, up to `end`. */
  private begin: Revision;
  private end: Revision;

  constructor({ items, revision }: PrefixSnapshot) {
    this.items = byKey(items);
    this.begin = revision;
    this.end = revision;
  }

  /** Revision up to which the mirror is complete. */
  get revision(): Revision {
    return this.end;
  }

  /** Current content of the prefix. */
  get snapshot(): PrefixSnapshot {
    this.lastSnapshot ??= { items: [...this.items.values()], revision: this.end };
    return this.lastSnapshot;
  }

  /** Applies a list. If it differs from the mirror, followers have to list again. */
  applyList({ items, revision }: PrefixSnapshot): void {
    if (revision < this.end) return;
    this.lastSnapshot = undefined;
    if (!this.hasSameItems(items)) {
      this.items = byKey(items);
      this.changes = [];
      this.begin = revision;
    }
    this.end = revision;
  }

  /** Applies the changes of a watch from `after` on; returns false if they would leave a gap. */
  applyChanges(after: Revision, changes: readonly StoreChange[], revision: Revision): boolean {
    if (after > this.end) return false;
    this.lastSnapshot = undefined;
    const previousEnd = this.end;
    for (const change of changes) if (change.revision > previousEnd) this.apply(change);
    this.end = Math.max(this.end, revision);
    this.removeOldest();
    return true;
  }

  /** All changes after a revision; `undefined` if some of them are no longer retained. */
  changesAfter(after: Revision): readonly StoreChange[] | undefined {
    if (after < this.begin) return undefined;
    return this.changes.filter((change) => change.revision > after);
  }

  private apply(change: StoreChange): void {
    const { key, value, revision } = change;
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, { key, value, revision });
    this.changes.push(change);
  }

  private hasSameItems(items: readonly StoreItem[]): boolean {
    if (items.length !== this.items.size) return false;
    return items.every(({ key, revision }) => this.items.get(key)?.revision === revision);
  }

  private removeOldest(): void {
    const excess = this.changes.length - MAX_RETAINED_CHANGES;
    if (excess <= 0) return;
    const removed = this.changes.splice(0, excess);
    this.begin = Math.max(this.begin, removed.at(-1)?.revision ?? this.begin);
  }
}

function byKey(items: readonly StoreItem[]): Map<string, StoreItem> {
  return new Map(items.map((item) => [item.key, item]));
}
