/**
 * A node's copy of the feed: all keys, complete up to one revision that never goes back, with
 * the deletions needed to bring older copies up to date.
 */
import type { Revision } from '../core/units.js';
import type { FeedContent, FeedEntry } from './messages.js';

/** Deletions remembered; an older copy then gets a snapshot instead of a delta. */
const TOMBSTONE_LIMIT = 1_000;

/** The copy of one node. */
export class EntryStore {
  private readonly entries = new Map<string, FeedEntry>();
  private completeRevision: Revision = 0;
  /** Deletions up to this revision may have been forgotten. */
  private forgottenRevision: Revision = 0;
  private tombstones = 0;

  /** @param ordered off only in the lab: older content then replaces newer. */
  constructor(
    private readonly tombstoneLimit: number = TOMBSTONE_LIMIT,
    private readonly ordered: boolean = true,
  ) {}

  /** The copy holds all that was written up to this revision; 0 before the first content. */
  get revision(): Revision {
    return this.completeRevision;
  }

  /** Revision that last changed a key; 0 where the key does not exist. */
  modRevisionOf(key: string): Revision {
    const entry = this.entries.get(key);
    return entry === undefined || entry.value === null ? 0 : entry.modRevision;
  }

  /** The keys that exist, with their values. */
  *existing(): Iterable<{ readonly key: string; readonly value: string }> {
    for (const { key, value } of this.entries.values()) {
      if (value !== null) yield { key, value };
    }
  }

  /** What a copy of the given revision lacks. */
  contentSince(revision: Revision): FeedContent {
    if (revision >= this.completeRevision) return { kind: 'same' };
    if (revision < this.forgottenRevision || revision === 0) {
      const entries = [...this.entries.values()].filter((entry) => entry.value !== null);
      return { kind: 'snapshot', entries };
    }
    const entries = [...this.entries.values()].filter((entry) => entry.modRevision > revision);
    return { kind: 'delta', fromRevision: revision, entries };
  }

  /**
   * Takes over content that is complete up to a revision. Returns the keys that changed, or
   * `null` where the content does not connect to this copy (it starts at a later revision).
   */
  apply(content: FeedContent, revision: Revision): readonly string[] | null {
    if (this.ordered && revision <= this.completeRevision) return [];
    if (content.kind === 'same') return null;
    if (content.kind === 'delta' && content.fromRevision > this.completeRevision) return null;
    const changed = content.entries.filter((entry) => this.put(entry)).map((entry) => entry.key);
    if (content.kind === 'snapshot') {
      changed.push(...this.deleteMissing(content.entries, revision));
      this.forgottenRevision = revision;
    }
    this.completeRevision = revision;
    this.forgetTombstones();
    return changed;
  }

  private put(entry: FeedEntry): boolean {
    const current = this.entries.get(entry.key);
    const isOld = current !== undefined && current.modRevision >= entry.modRevision;
    if (isOld && this.ordered) return false;
    this.entries.set(entry.key, entry);
    this.tombstones += (entry.value === null ? 1 : 0) - (current?.value === null ? 1 : 0);
    return current?.value !== entry.value && !(current === undefined && entry.value === null);
  }

  /**
   * A snapshot does not name deleted keys; those known here are taken as deleted at its revision.
   * Others may have come and gone unseen, so no delta from before it can be given.
   */
  private deleteMissing(entries: readonly FeedEntry[], revision: Revision): string[] {
    const named = new Set(entries.map((entry) => entry.key));
    const missing = [...this.existing()].map(({ key }) => key).filter((key) => !named.has(key));
    for (const key of missing) this.put({ key, value: null, modRevision: revision });
    return missing;
  }

  private forgetTombstones(): void {
    if (this.tombstones <= this.tombstoneLimit) return;
    const deleted = [...this.entries.values()].filter((entry) => entry.value === null);
    deleted.sort((left, right) => left.modRevision - right.modRevision);
    for (const entry of deleted.slice(0, Math.ceil(deleted.length / 2))) {
      this.entries.delete(entry.key);
      this.tombstones -= 1;
      this.forgottenRevision = Math.max(this.forgottenRevision, entry.modRevision);
    }
  }
}
