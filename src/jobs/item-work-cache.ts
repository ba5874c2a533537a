/**
 * Work on items whose job ended before their group was whole. A trainer may bring such a group
 * back with a later job, under the same ids; what was made of it is then taken over, if its
 * weights fit the later job.
 */
import { contentDigest } from '../core/hashing.js';
import type { Milliseconds } from '../core/units.js';
import type { JobOrigin } from '../placement/job-residency.js';
import type { Clock } from '../serving/clock.js';
import type { KeptItem } from './item-progress.js';
import type { JobItem, JobResult } from './job-records.js';
import type { OwnedJob } from './owned-job.js';

/** What is kept of one item. */
export type ItemWork =
  | { readonly kind: 'unfinished'; readonly progress: KeptItem }
  | { readonly kind: 'finished'; readonly result: JobResult };

/** Kept work with the digests of what was asked. */
export interface DigestedWork {
  readonly work: ItemWork;
  /** Of headers and body, so that an id that is used for something else is not mistaken. */
  readonly digest: string;
  /** Of the request for the score: a score is the answer to that request alone. */
  readonly scoreDigest: string;
}

/** Time for which work is kept; a trainer brings a group back with its next steps. */
const KEEP_TIME: Milliseconds = 20_000;

/** Items kept at most; the oldest go first. */
const MOST_ITEMS = 4_000;

interface Entry extends DigestedWork {
  readonly keptAt: Milliseconds;
  /** What tells in which regions it may lie. */
  readonly origin: JobOrigin;
}

/** Keeps work by item id. */
export class ItemWorkCache {
  private readonly entries = new Map<string, Entry>();

  constructor(private readonly clock: Clock) {}

  /** Keeps what a closed job made of the groups that are not whole. */
  keep(job: OwnedJob, origin: JobOrigin = {}): void {
    const results = new Map(job.finishedResults().map((result) => [result.id, result]));
    const progress = job.keptProgress();
    for (const group of groupsOf(job.spec.items)) {
      if (group.every((item) => results.has(item.id))) continue;
      for (const item of group) {
        const work = workOf(results.get(item.id), progress[item.id]);
        if (work !== undefined) this.keepItem(item, work, origin);
      }
    }
    this.dropOld();
  }

  /** What is kept of an item; a digest of the request must agree. */
  find(item: JobItem): ItemWork | undefined {
    const entry = this.findById(item.id);
    return entry === undefined ? undefined : workFor(entry, item);
  }

  /** What is kept under an id, for another node, if that one may be told. */
  findById(
    id: string,
    mayTell: (origin: JobOrigin) => boolean = () => true,
  ): DigestedWork | undefined {
    const entry = this.entries.get(id);
    if (entry === undefined || this.clock.now() - entry.keptAt > KEEP_TIME) return undefined;
    if (!mayTell(entry.origin)) return undefined;
    const { work, digest, scoreDigest } = entry;
    return { work, digest, scoreDigest };
  }

  private keepItem(item: JobItem, work: ItemWork, origin: JobOrigin): void {
    this.entries.delete(item.id);
    this.entries.set(item.id, { ...digested(work, item), keptAt: this.clock.now(), origin });
  }

  private dropOld(): void {
    const limit = this.clock.now() - KEEP_TIME;
    for (const [id, entry] of this.entries) {
      if (entry.keptAt > limit && this.entries.size <= MOST_ITEMS) return;
      this.entries.delete(id);
    }
  }
}

/** Work on an item with the digests of what was asked. */
export function digested(work: ItemWork, item: JobItem): DigestedWork {
  return { work, digest: digestOf(item), scoreDigest: scoreDigestOf(item) };
}

/** How far work on an item got, to compare with other work on it. */
export function extentOf(work: ItemWork | undefined): number {
  if (work === undefined) return 0;
  if (work.kind === 'finished' || work.progress.isWhole === true) return Number.POSITIVE_INFINITY;
  return work.progress.events.length;
}

/**
 * What kept work is worth to an item: nothing if it was another request; the text alone, to be
 * scored anew, if the score was asked for by another request.
 */
export function workFor(kept: DigestedWork, item: JobItem): ItemWork | undefined {
  if (kept.digest !== digestOf(item)) return undefined;
  const { work } = kept;
  if (work.kind === 'unfinished' || kept.scoreDigest === scoreDigestOf(item)) return work;
  return { kind: 'unfinished', progress: unscoredText(work.result) };
}

/** A whole text as kept progress; it is never continued, so its number of events is of no use. */
function unscoredText({ text, versions }: JobResult): KeptItem {
  return { events: [text], lastEventId: 0, versions, isWhole: true };
}

function workOf(
  result: JobResult | undefined,
  progress: KeptItem | undefined,
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
