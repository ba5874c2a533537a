/**
 * Caches work on items whose job was cancelled before their group was completed. A trainer may
 * submit such a group again in a later job under the same ids; the cached work is then reused if
 * its weight versions fit.
 */
import { contentDigest } from '../core/hashing.js';
import type { Milliseconds } from '../core/units.js';
import type { JobOrigin } from '../placement/job-residency.js';
import type { Clock } from '../serving/clock.js';
import type { StoredItemProgress } from './item-progress.js';
import type { JobItem, JobResult } from './job-records.js';
import type { OwnedJob } from './owned-job.js';

/** Progress or result of one item. */
export type ItemWork =
  | { readonly kind: 'unfinished'; readonly progress: StoredItemProgress }
  | { readonly kind: 'finished'; readonly result: JobResult };

/** Work on an item with digests of the requests that it answers. */
export interface DigestedWork {
  readonly work: ItemWork;
  /** Digest of headers and body, to detect an id that was reused for another request. */
  readonly digest: string;
  /** Digest of the score request; a score is valid only for the same request. */
  readonly scoreDigest: string;
}

/** Time for which work is cached; a trainer resubmits a group with one of its next steps. */
const RETENTION: Milliseconds = 20_000;

/** Maximum number of cached items; the oldest are evicted first. */
const MAX_ITEMS = 4_000;

interface CachedWork extends DigestedWork {
  readonly cachedAt: Milliseconds;
  /** Determines the regions that may store the work. */
  readonly origin: JobOrigin;
}

export class ItemWorkCache {
  private readonly entries = new Map<string, CachedWork>();

  constructor(private readonly clock: Clock) {}

  /** Caches a closed job's work on groups that are not completed. */
  add(job: OwnedJob, origin: JobOrigin = {}): void {
    const results = new Map(job.finishedResults().map((result) => [result.id, result]));
    const progress = job.unfinishedProgress();
    for (const group of groupsOf(job.spec.items)) {
      if (group.every((item) => results.has(item.id))) continue;
      for (const item of group) {
        const work = workOf(results.get(item.id), progress[item.id]);
        if (work !== undefined) this.addItem(item, work, origin);
      }
    }
    this.evictOld();
  }

  /** Finds work on an item; its request digest must match. */
  find(item: JobItem): ItemWork | undefined {
    const entry = this.findById(item.id);
    return entry === undefined ? undefined : reusableWork(entry, item);
  }

  /** Finds work by item id for another node, if `mayReceive` permits its origin. */
  findById(
    id: string,
    mayReceive: (origin: JobOrigin) => boolean = () => true,
  ): DigestedWork | undefined {
    const entry = this.entries.get(id);
    if (entry === undefined || this.clock.now() - entry.cachedAt > RETENTION) return undefined;
    if (!mayReceive(entry.origin)) return undefined;
    const { work, digest, scoreDigest } = entry;
    return { work, digest, scoreDigest };
  }

  private addItem(item: JobItem, work: ItemWork, origin: JobOrigin): void {
    this.entries.delete(item.id);
    this.entries.set(item.id, { ...withDigests(work, item), cachedAt: this.clock.now(), origin });
  }

  private evictOld(): void {
    const limit = this.clock.now() - RETENTION;
    for (const [id, entry] of this.entries) {
      if (entry.cachedAt > limit && this.entries.size <= MAX_ITEMS) return;
      this.entries.delete(id);
    }
  }
}

/** Adds the digests of the item's requests to work on it. */
export function withDigests(work: ItemWork, item: JobItem): DigestedWork {
  return { work, digest: digestOf(item), scoreDigest: scoreDigestOf(item) };
}

/** Number of events, to compare the progress of work; infinite for a complete text. */
export function eventCountOf(work: ItemWork | undefined): number {
  if (work === undefined) return 0;
  if (work.kind === 'finished' || work.progress.isWhole === true) return Number.POSITIVE_INFINITY;
  return work.progress.events.length;
}

/**
 * The part of cached work that an item can reuse: nothing if the request differs; only the text, to
 * be scored again, if the score request differs.
 */
export function reusableWork(cached: DigestedWork, item: JobItem): ItemWork | undefined {
  if (cached.digest !== digestOf(item)) return undefined;
  const { work } = cached;
  if (work.kind === 'unfinished' || cached.scoreDigest === scoreDigestOf(item)) return work;
  return { kind: 'unfinished', progress: unscoredText(work.result) };
}

/** A complete text as progress; it is never resumed, so its event count does not matter. */
function unscoredText({ text, versions }: JobResult): StoredItemProgress {
  return { events: [text], lastEventId: 0, versions, isWhole: true };
}

function workOf(
  result: JobResult | undefined,
  progress: StoredItemProgress | undefined,
): ItemWork | undefined {
  if (result?.state === 'completed') return { kind: 'finished', result };
  return progress === undefined ? undefined : { kind: 'unfinished', progress };
}

function groupsOf(items: readonly JobItem[]): JobItem[][] {
  const groups = new Map<string, JobItem[]>();
  for (const item of items) {
    const group = groups.get(item.group) ?? [];
    group.push(item);
    groups.set(item.group, group);
  }
  return [...groups.values()];
}

function scoreDigestOf({ scoreRequest }: JobItem): string {
  return scoreRequest === undefined ? '' : contentDigest(JSON.stringify(scoreRequest));
}

function digestOf(item: JobItem): string {
  return contentDigest(JSON.stringify([item.headers, item.body]));
}
