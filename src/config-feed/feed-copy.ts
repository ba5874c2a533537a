/**
 * A node's copy of the configuration together with its freshness. The copy is *fresh as of* a
 * time on the node's own clock when it holds every write that the key-value service had taken in
 * by then; this only ever moves forward.
 */
import type { Milliseconds, Revision } from '../core/units.js';
import type { Configuration } from './configuration.js';
import { EntryStore } from './entry-store.js';
import type { FeedEffectList } from './feed-effects.js';
import type { FeedContent } from './messages.js';
import { EMPTY_CONFIGURATION, RecordDecoder } from './records.js';

/** What taking over content did. */
export interface TakeOver {
  /** False where the content starts at a revision later than this copy's. */
  readonly connected: boolean;
  readonly changed: boolean;
}

/** The copy of one node. */
export class FeedCopy {
  readonly store: EntryStore;
  private readonly decoder = new RecordDecoder();
  private freshAt: Milliseconds | null = null;
  private current: Configuration = EMPTY_CONFIGURATION;
  private changedRevision: Revision = 0;
  private rejectedKeys = new Set<string>();
  private rejectedTotal = 0;

  /** @param ordered off only in the lab: older content then replaces newer. */
  constructor(
    private readonly effects: FeedEffectList,
    ordered = true,
  ) {
    this.store = new EntryStore(undefined, ordered);
  }

  /** The same object until a record changes. */
  get configuration(): Configuration {
    return this.current;
  }

  /** The copy holds all that was written up to this revision; 0 before the first content. */
  get revision(): Revision {
    return this.store.revision;
  }

  /** Revision of the copy when a key last changed. */
  get contentRevision(): Revision {
    return this.changedRevision;
  }

  /** Records kept out so far, each counted when it first failed to parse. */
  get rejectedCount(): number {
    return this.rejectedTotal;
  }

  /** Time as of which the copy is fresh; `null` where it never was. */
  get freshAsOf(): Milliseconds | null {
    return this.freshAt;
  }

  /** Time since the copy was surely complete; `null` where it never was. */
  age(now: Milliseconds): Milliseconds | null {
    return this.freshAt === null ? null : Math.max(0, now - this.freshAt);
  }

  /** Notes that the copy is fresh as of a time; an earlier time than known changes nothing. */
  noteFresh(at: Milliseconds): void {
    if (this.freshAt === null || at > this.freshAt) this.freshAt = at;
  }

  /** Takes over content that is complete up to a revision, and publishes what it changes. */
  take(content: FeedContent, revision: Revision): TakeOver {
    const isFirst = this.store.revision === 0 && revision > 0;
    const changedKeys = this.store.apply(content, revision);
    if (changedKeys === null) return { connected: false, changed: false };
    const changed = changedKeys.length > 0;
    if (changed || isFirst) this.publish(changedKeys);
    return { connected: true, changed };
  }

  private publish(changedKeys: readonly string[]): void {
    this.changedRevision = this.store.revision;
    const decoded = this.decoder.decode(this.store.existing(), this.store.revision);
    this.current = decoded.configuration;
    const rejectedNow = new Set(decoded.rejected.map((rejected) => rejected.key));
    for (const { key, reason } of decoded.rejected) {
      if (this.rejectedKeys.has(key) && !changedKeys.includes(key)) continue;
      this.rejectedTotal += 1;
      this.effects.logChange('record-rejected', { key, reason });
    }
    this.rejectedKeys = rejectedNow;
    this.effects.add({ kind: 'applied', configuration: this.current, changedKeys });
  }
}
