/**
 * Limits how much of a job one value of the shared store contains. The store permanently rejects
 * commits with values above 1 MiB.
 */
import type { JobResult, StoredProgress } from './job-records.js';

/** Limit on the text of one page of results; the first result may exceed it. */
const MAX_PAGE_BYTES = 400_000;

/** Limit on the stored events of unfinished items. */
const MAX_PROGRESS_BYTES = 600_000;

/** Limit on the text of one item, as a page has at least one result; a worker may never end a text. */
export const MAX_TEXT_BYTES = 700_000;

/** The leading results that fit into one page. */
export function firstPageOf(results: readonly JobResult[]): JobResult[] {
  const page: JobResult[] = [];
  let bytes = 0;
  for (const result of results) {
    bytes += Buffer.byteLength(result.text);
    if (page.length > 0 && bytes > MAX_PAGE_BYTES) break;
    page.push(result);
  }
  return page;
}

/** The progress that fits into one value, preferring complete texts, then longer ones. */
export function storableProgress(progress: StoredProgress): StoredProgress {
  const entries = Object.entries(progress).map(([id, item]) => ({
    id,
    item,
    bytes: item.events.reduce((sum, event) => sum + Buffer.byteLength(event), 0),
  }));
  const completeRank = (item: StoredProgress[string]): number => (item.isWhole === true ? 1 : 0);
  entries.sort((a, b) => completeRank(b.item) - completeRank(a.item) || b.bytes - a.bytes);
  const stored: StoredProgress = {};
  let total = 0;
  for (const { id, item, bytes } of entries) {
    if (total + bytes > MAX_PROGRESS_BYTES) continue;
    total += bytes;
    stored[id] = item;
  }
  return stored;
}
