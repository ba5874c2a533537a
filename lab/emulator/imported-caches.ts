/**
 * Tokens that an emulated engine imported and whose request has not come yet. Limited: the oldest
 * import makes room.
 */
import type { KeyValueCacheExport, Sequence } from './sequence.js';

/** Imports kept at once. */
const IMPORT_LIMIT = 256;

/** Imports by answer, oldest first. */
export class ImportedCaches {
  private readonly caches = new Map<number, KeyValueCacheExport>();

  /** Keeps an import; a newer one of the same answer replaces it. */
  add(source: KeyValueCacheExport): void {
    this.caches.delete(source.answer);
    this.caches.set(source.answer, source);
    if (this.caches.size <= IMPORT_LIMIT) return;
    const [oldest] = this.caches.keys();
    if (oldest !== undefined) this.caches.delete(oldest);
  }

  /** Takes what fits a new sequence; nothing where its request brings tokens of its own. */
  take(sequence: Sequence): KeyValueCacheExport | undefined {
    if (sequence.request.resume !== undefined) return undefined;
    const source = this.caches.get(sequence.answer);
    this.caches.delete(sequence.answer);
    return source;
  }
}
