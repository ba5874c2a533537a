/**
 * The state of the emulated key-value service without any I/O: etcd's revision semantics, used by
 * the emulator process and by the simulator. One revision a writing transaction; a transaction
 * that writes nothing leaves the revision as it is.
 */
import type { Revision } from '../../src/core/units.js';
import type {
  KeyValueChange,
  KeyValueCompare,
  KeyValueEntry,
  KeyValueOperation,
  KeyValueResult,
  KeyValueWatchEvent,
  KeyValueWrite,
} from '../../src/platform/key-value.js';

/** Keys, values, revisions and the history that watches read. */
export class KeyValueCore {
  private readonly entries = new Map<string, KeyValueEntry>();
  private history: KeyValueChange[] = [];
  private currentRevision: Revision = 1;
  private compactedRevision: Revision = 0;

  /** Revision of the last writing transaction; 1 for an empty store, as in etcd. */
  get revision(): Revision {
    return this.currentRevision;
  }

  /** Performs one operation; never answers `failed`. Throws when one key is written twice. */
  perform(operation: KeyValueOperation): KeyValueResult {
    if (operation.kind === 'range') {
      const entries = operation.prefix
        ? this.entriesBelow(operation.key)
        : this.entriesAt(operation.key);
      return { kind: 'range', revision: this.currentRevision, entries };
    }
    refuseRepeatedKeys(operation.writes);
    const succeeded = operation.compares.every((compare) => this.holds(compare));
    if (succeeded) this.apply(operation.writes);
    return { kind: 'transaction', succeeded, revision: this.currentRevision };
  }

  /**
   * All changes below a prefix with `modRevision >= fromRevision`. The next call starts from the
   * reported revision plus one. `lost` where part of that history was compacted away.
   */
  changesSince(prefix: string, fromRevision: Revision): KeyValueWatchEvent {
    if (fromRevision < this.compactedRevision) return { kind: 'lost', compacted: true };
    const changes: KeyValueChange[] = [];
    for (let position = this.firstAt(fromRevision); position < this.history.length; position += 1) {
      const change = this.history[position];
      if (change?.key.startsWith(prefix)) changes.push(change);
    }
    return { kind: 'changes', revision: this.currentRevision, changes };
  }

  /** Forgets the history before a revision; current entries stay. */
  compact(revision: Revision): void {
    const bound = Math.min(revision, this.currentRevision);
    if (bound <= this.compactedRevision) return;
    this.history = this.history.slice(this.firstAt(bound));
    this.compactedRevision = bound;
  }

  private entriesAt(key: string): KeyValueEntry[] {
    const entry = this.entries.get(key);
    return entry === undefined ? [] : [entry];
  }

  private entriesBelow(prefix: string): KeyValueEntry[] {
    const found: KeyValueEntry[] = [];
    for (const entry of this.entries.values()) {
      if (entry.key.startsWith(prefix)) found.push(entry);
    }
    return found.sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  private holds(compare: KeyValueCompare): boolean {
    return (this.entries.get(compare.key)?.modRevision ?? 0) === compare.modRevision;
  }

  private apply(writes: readonly KeyValueWrite[]): void {
    const effective = writes.filter((write) => write.kind === 'put' || this.entries.has(write.key));
    if (effective.length === 0) return;
    this.currentRevision += 1;
    for (const write of effective) this.write(write);
  }

  private write(write: KeyValueWrite): void {
    const modRevision = this.currentRevision;
    const value = write.kind === 'put' ? write.value : null;
    if (value === null) this.entries.delete(write.key);
    else this.entries.set(write.key, { key: write.key, value, modRevision });
    this.history.push({ key: write.key, value, modRevision });
  }

  /** Position in the history of the first change with at least this revision. */
  private firstAt(revision: Revision): number {
    let low = 0;
    let high = this.history.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.history[middle]?.modRevision ?? 0) < revision) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function refuseRepeatedKeys(writes: readonly KeyValueWrite[]): void {
  if (writes.length < 2) return;
  const keys = new Set(writes.map((write) => write.key));
  if (keys.size < writes.length) throw new RangeError('a transaction writes one key twice');
}
