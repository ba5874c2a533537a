/**
 * All that lies under one prefix of the shared store, as this node's own list and watch of it tell,
 * with the changes that came lately. Other nodes follow the prefix here instead of at the store.
 */
import type { Revision } from '../core/units.js';
import type { StoreChange, StoreItem } from './shared-store.js';

/** Changes kept at most; a follower that is further behind lists the prefix here. */
const MOST_CHANGES = 1_000;

/** What a list of a prefix shows. */
export interface PrefixSnapshot {
  readonly items: readonly StoreItem[];
  readonly revision: Revision;
}

/** A copy of one prefix. */
export class PrefixMirror {
  private items: Map<string, StoreItem>;
  private changes: StoreChange[] = [];
  /** What {@link snapshot} gave last; all that ask before the next change get the same one. */
  private lastSnapshot: PrefixSnapshot | undefined;
  /** All changes after this revision are kept, up to `end`. */
  private begin: Revision;
  private end: Revision;

  constructor({ items, revision }: PrefixSnapshot) {
    this.items = byKey(items);
    this.begin = revision;
    this.end = revision;
  }

  /** Revision up to which everything is known. */
  get revision(): Revision {
    return this.end;
  }

  /** The prefix as it is known here. */
  get snapshot(): PrefixSnapshot {
    this.lastSnapshot ??= { items: [...this.items.values()], revision: this.end };
    return this.lastSnapshot;
  }

  /** Takes in a new list. Where it shows what no watch told, followers have to list anew. */
  applyList({ items, revision }: PrefixSnapshot): void {
    if (revision < this.end) return;
    this.lastSnapshot = undefined;
    if (!this.holds(items)) {
      this.items = byKey(items);
      this.changes = [];
      this.begin = revision;
    }
    this.end = revision;
  }

  /** Takes in what a watch told that began at `after`; tells whether it goes on where this ends. */
  applyChanges(after: Revision, changes: readonly StoreChange[], revision: Revision): boolean {
    if (after > this.end) return false;
    this.lastSnapshot = undefined;
    const known = this.end;
    for (const change of changes) if (change.revision > known) this.apply(change);
    this.end = Math.max(this.end, revision);
    this.dropOldest();
    return true;
  }

  /** All changes after a revision; `undefined` where some of them are not kept. */
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

  private holds(items: readonly StoreItem[]): boolean {
    if (items.length !== this.items.size) return false;
    return items.every(({ key, revision }) => this.items.get(key)?.revision === revision);
  }

  private dropOldest(): void {
    const excess = this.changes.length - MOST_CHANGES;
    if (excess <= 0) return;
    const dropped = this.changes.splice(0, excess);
    this.begin = Math.max(this.begin, dropped.at(-1)?.revision ?? this.begin);
  }
}

function byKey(items: readonly StoreItem[]): Map<string, StoreItem> {
  return new Map(items.map((item) => [item.key, item]));
}
