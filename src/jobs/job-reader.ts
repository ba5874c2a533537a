/**
 * Reads jobs that another node runs. Listed results and specifications never change, so they are
 * kept; only what may be missing is asked of the store.
 */
import type { JobResult, JobSpecification } from './job-records.js';
import type { JobStore, Read } from './job-store.js';

/** Jobs whose results, and whose specifications, are kept at most. */
const KEPT_JOBS = 48;
const KEPT_SPECIFICATIONS = 8;

/** What is known of a job. */
interface KnownJob {
  readonly total: number;
  pages: number;
  readonly results: JobResult[];
}

/** What a reader of results learns. */
export interface JobListing {
  readonly total: number;
  readonly results: readonly JobResult[];
}

/** Reads jobs from the store. */
export class JobReader {
  private readonly jobs = new Map<string, KnownJob>();
  private readonly specifications = new Map<string, JobSpecification>();

  constructor(private readonly store: JobStore) {}

  /** All results of a job, at least up to those that were listed when the call came. */
  async listing(job: string, after: number): Promise<Read<JobListing>> {
    const known = this.jobs.get(job);
    if (known !== undefined && (after < known.results.length || isWhole(known))) {
      return { kind: 'found', value: known };
    }
    const opened = known ?? (await this.open(job));
    if ('kind' in opened) return opened;
    const read = await this.store.results(job, opened.pages);
    if (read.kind !== 'found') return { kind: 'unavailable' };
    this.extend(opened, read.value);
    return { kind: 'found', value: opened };
  }

  /** The job as it was submitted. */
  async specification(job: string): Promise<Read<JobSpecification>> {
    const known = this.specifications.get(job);
    if (known !== undefined) return { kind: 'found', value: known };
    const read = await this.store.specification(job);
    if (read.kind === 'found') keep(this.specifications, job, read.value, KEPT_SPECIFICATIONS);
    return read;
  }

  private async open(job: string): Promise<KnownJob | Read<never>> {
    const read = await this.store.head(job);
    if (read.kind !== 'found') return read;
    const opened = { total: read.value.head.total, pages: 0, results: [] };
    keep(this.jobs, job, opened, KEPT_JOBS);
    return opened;
  }

  /** Two reads at a time may bring the same pages; only the next one in order is added. */
  private extend(known: KnownJob, pages: readonly (readonly JobResult[])[]): void {
    const seen = new Set(known.results.map((result) => result.id));
    for (const page of pages) {
      if (page.some((result) => seen.has(result.id))) continue;
      known.results.push(...page);
      known.pages += 1;
    }
  }
}

function isWhole(known: KnownJob): boolean {
  return known.results.length >= known.total;
}

/** Adds an entry and drops the oldest beyond the limit. */
function keep<Value>(map: Map<string, Value>, key: string, value: Value, limit: number): void {
  map.set(key, value);
  const oldest = map.keys().next();
  if (map.size > limit && oldest.done !== true) map.delete(oldest.value);
}
