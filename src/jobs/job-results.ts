/** Slices of a job's results as trainers read them. */
import type { ReadListing } from './job-reader.js';
import type { JobResult } from './job-records.js';

/** Consecutive results of a job, as one response returns them. */
export interface ResultSlice {
  readonly total: number;
  readonly results: readonly JobResult[];
  readonly nextPosition: number;
}

/** Limit on the result text in one response; the first result may exceed it. */
const MAX_SLICE_BYTES = 900_000;

/** The results from position `after` on, as many as fit into one response. */
export function sliceOf(
  listing: Pick<ReadListing, 'total' | 'results'> & Partial<Pick<ReadListing, 'offset'>>,
  after: number,
): ResultSlice {
  const { offset = 0 } = listing;
  const results: JobResult[] = [];
  let bytes = 0;
  for (const result of listing.results.slice(after - offset)) {
    bytes += Buffer.byteLength(result.text);
    if (results.length > 0 && bytes > MAX_SLICE_BYTES) break;
    results.push(result);
  }
  return { total: listing.total, results, nextPosition: after + results.length };
}
