/**
 * How much of a job goes into one value of the shared store, which holds 1 MiB. A larger commit
 * would be refused however often it is repeated.
 */
import type { JobResult, StoredProgress } from './job-records.js';

/** Bytes of text that one page of results holds beyond its first result. */
const MAXIMUM_PAGE_BYTES = 400_000;

/** Bytes of events that are kept of unfinished items. */
const MAXIMUM_KEPT_BYTES = 600_000;

/** The first of some results, as many as one page holds. */
export function firstPageOf(results: readonly JobResult[]): JobResult[] {
  const page: JobResult[] = [];
  let bytes = 0;
  for (const result of results) {
    bytes += Buffer.byteLength(result.text);
    if (page.length > 0 && bytes > MAXIMUM_PAGE_BYTES) break;
    page.push(result);
  }
  return page;
}

/** As much of some progress as one value holds: whole texts and the longest first. */
export function storableProgress(progress: StoredProgress): StoredProgress {
  const entries = Object.entries(progress).map(([id, kept]) => ({
    id,
    kept,
    bytes: kept.events.reduce((sum, event) => sum + Buffer.byteLength(event), 0),
  }));
  const wholeRank = (kept: StoredProgress[string]): number => (kept.isWhole === true ? 1 : 0);
  entries.sort((a, b) => wholeRank(b.kept) - wholeRank(a.kept) || b.bytes - a.bytes);
  const stored: StoredProgress = {};
  let total = 0;
  for (const { id, kept, bytes } of entries) {
    if (total + bytes > MAXIMUM_KEPT_BYTES) continue;
    total += bytes;
    stored[id] = kept;
  }
  return stored;
}
