/**
 * Reads jobs that other nodes own. Listed results and specifications are immutable and are cached;
 * missing results are requested from the likely owners of the job first and then from the store. A
 * node that may not store a job forwards its results without caching them.
 */
import type { Milliseconds } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import { type JobResidency, UNRESTRICTED_RESIDENCY } from '../placement/job-residency.js';
import type { TenantName } from '../tenants/tenant.js';
import { JobAbsence, type QueriedJournals } from './job-absence.js';
import type { JobOwner, JobResult, JobSpecification } from './job-records.js';
import type { JobStore } from './job-store.js';
import type { ReadOrigin, ReadSource, Unanswered, UnansweredCause } from './read-log.js';

/** Cache sizes in jobs: results, and specifications. */
const MAX_CACHED_JOBS = 48;
const MAX_CACHED_SPECIFICATIONS = 8;

/** Cached state of a job. */
interface CachedJob {
  readonly tenant: TenantName | undefined;
  readonly total: number;
  /** The owner when the job was last read; `null` if none is known. */
  owner: JobOwner | null;
  /** The owner's term, if known. */
  term?: number | undefined;
  pages: number;
  /**
   * Position of the first of `results`. Earlier results are not fetched for a read from a later
   * position, because texts are most of the traffic between zones.
   */
  readonly offset: number;
  readonly results: JobResult[];
}

/** Cached state of a job whose results this node may not store. */
type CachedOwner = Pick<CachedJob, 'tenant' | 'total' | 'owner'>;

/** Results of a job as read. */
export interface ReadListing {
  /** The tenant that submitted the job. */
  readonly tenant: TenantName | undefined;
  readonly total: number;
  /** Position of the first of `results`. */
  readonly offset: number;
  readonly results: readonly JobResult[];
  readonly source: ReadSource;
}

/** A job's results, or why they cannot be read. */
export type ListingRead = { readonly kind: 'found'; readonly value: ReadListing } | Unanswered;

/** Results that the owner of a job reported, from the requested position on. */
export interface OwnerListing {
  readonly tenant: TenantName | undefined;
  /** Number of items in the job. */
  readonly total: number;
  readonly results: readonly JobResult[];
  /** Number of pages listed so far. */
  readonly pages: number;
  /** Regions that may store the results; `undefined` if any may. */
  readonly allowedRegions?: AllowedRegions;
}

/** Requests results from an owner; `undefined` if it does not answer or no longer owns the job. */
export type FetchOwnerListing = (
  owner: JobOwner,
  job: string,
  after: number,
  wait: Milliseconds,
) => Promise<OwnerListing | undefined>;

/** Reads jobs from their owners and from the store. */
export class JobReader {
  private readonly jobs = new Map<string, CachedJob>();
  private readonly owners = new Map<string, CachedOwner>();
  private readonly specifications = new Map<string, JobSpecification>();
  private readonly absence: JobAbsence;

  constructor(
    private readonly store: JobStore,
    private readonly fetchOwnerListing: FetchOwnerListing,
    /** Node incarnations that probably own a job, the likeliest first; tried before the store. */
    private readonly likelyOwners: (job: string) => readonly JobOwner[] = () => [],
    /** The zones' journals, if zones accept jobs without the store. */
    private readonly journals?: QueriedJournals,
    private readonly residency: JobResidency = UNRESTRICTED_RESIDENCY,
  ) {
    this.absence = new JobAbsence(store, journals);
  }

  /**
   * Results of a job from position `after` on, including at least those listed before the call.
   * Cached results before the position may be included.
   */
  async listing(job: string, after: number, wait: Milliseconds): Promise<ListingRead> {
    const cached = this.jobs.get(job);
    const usable = cached === undefined || after < cached.offset ? undefined : cached;
    if (usable !== undefined && (after < endOf(usable) || isComplete(usable))) {
      return readFrom('cache', usable);
    }
    const loaded = usable ?? this.loadCachedOwner(job, after) ?? (await this.load(job, after));
    if ('kind' in loaded) return loaded;
    if (after < endOf(loaded)) return readFrom('peer-owner', loaded);
    if (await this.readFromOwner(job, loaded, wait)) return readFrom('peer-owner', loaded);
    return this.readFromStore(job, loaded, after);
  }

  /** Reads results from the store, unless a journal may have listed more. */
  private async readFromStore(job: string, loaded: CachedJob, after: number): Promise<ListingRead> {
    // Page numbers are relative to the first position.
    const fromStart = loaded.offset === 0 ? loaded : await this.loadFromStore(job);
    if ('kind' in fromStart) return fromStart;
    return this.readPages(job, fromStart, after);
  }

  private async readPages(job: string, cached: CachedJob, after: number): Promise<ListingRead> {
    // The journal is checked first: entries released after that are already in the store.
    const incompleteness = await this.incompletenessOfStore(job);
    const read = await this.store.results(job, cached.pages);
    if (read.kind !== 'found') return { kind: 'unavailable', cause: 'store-silent' };
    this.extend(cached, read.value);
    if (after < endOf(cached) || incompleteness === undefined) return readFrom('store', cached);
    return { kind: 'unavailable', cause: incompleteness };
  }

  /** Why the store may lack listed results of a job; `undefined` if it certainly has all. */
  private async incompletenessOfStore(job: string): Promise<UnansweredCause | undefined> {
    const { journals } = this;
    if (journals === undefined) return undefined;
    const storedHead = await this.store.head(job);
    if (storedHead.kind === 'unavailable') return 'store-silent';
    if (storedHead.kind === 'absent') return 'may-be-journaled';
    const { head } = storedHead.value;
    // A job cancelled in the store may have results that only its partitioned zone has listed.
    if (head.replicas === undefined || head.listed >= head.total) return undefined;
    const status = await journals.entryStatus(job, head.replicas);
    return status === 'not-held' ? undefined : 'pages-may-be-journaled';
  }

  /** Whether a job that the store does not have is certain not to exist. */
  isCertainlyAbsent(job: string): Promise<boolean> {
    return this.absence.isCertain(job);
  }

  /** Reads the specification of a job. */
  async specification(
    job: string,
  ): Promise<{ readonly kind: 'found'; readonly value: JobSpecification } | Unanswered> {
    const known = this.specifications.get(job);
    if (known !== undefined) return { kind: 'found', value: known };
    const read = await this.store.specification(job);
    if (read.kind !== 'found') return this.explainMissing(job, read.kind);
    const mayCache = this.residency.mayHoldHere(this.residency.regionsForSpec(read.value));
    if (mayCache) addBounded(this.specifications, job, read.value, MAX_CACHED_SPECIFICATIONS);
    return read;
  }

  /** Whether a job that was not found in the store is absent, and why if that is unknown. */
  async explainMissing(job: string, found: 'absent' | 'unavailable'): Promise<Unanswered> {
    if (found === 'unavailable') return { kind: 'unavailable', cause: 'store-silent' };
    if (await this.isCertainlyAbsent(job)) return { kind: 'absent', cause: 'not-held' };
    return { kind: 'unavailable', cause: 'may-be-journaled' };
  }

  private loadCachedOwner(job: string, after: number): CachedJob | undefined {
    const cached = this.owners.get(job);
    return cached === undefined ? undefined : { ...cached, pages: 0, offset: after, results: [] };
  }

  /** Caches the state of a job, without results if this node may not store them. */
  private cacheJob(job: string, cached: CachedJob, allowed: AllowedRegions): void {
    const { tenant, total, owner } = cached;
    if (this.residency.mayHoldHere(allowed)) addBounded(this.jobs, job, cached, MAX_CACHED_JOBS);
    else addBounded(this.owners, job, { tenant, total, owner }, MAX_CACHED_JOBS);
  }

  private async load(job: string, after: number): Promise<CachedJob | Unanswered> {
    return (await this.loadFromOwner(job, after)) ?? this.loadFromStore(job);
  }

  private async loadFromOwner(job: string, after: number): Promise<CachedJob | undefined> {
    for (const owner of this.likelyOwners(job)) {
      const listing = await this.fetchOwnerListing(owner, job, after, 0);
      if (listing === undefined) continue;
      const { tenant, total, pages, results, allowedRegions } = listing;
      const loaded = { tenant, total, owner, pages, offset: after, results: [...results] };
      // Without results, `after` is the caller's position and may exceed the listed results.
      if (after === 0 || results.length > 0) this.cacheJob(job, loaded, allowedRegions);
      return loaded;
    }
    return undefined;
  }

  private async loadFromStore(job: string): Promise<CachedJob | Unanswered> {
    const read = await this.store.head(job);
    if (read.kind !== 'found') return this.explainMissing(job, read.kind);
    const { tenant, total, owner, ended, term } = read.value.head;
    const currentOwner = ended ? null : owner;
    const loaded = { tenant, total, owner: currentOwner, term, pages: 0, offset: 0, results: [] };
    this.cacheJob(job, loaded, this.residency.regionsForOrigin(read.value.head));
    return loaded;
  }

  private async readFromOwner(
    job: string,
    cached: CachedJob,
    wait: Milliseconds,
  ): Promise<boolean> {
    if (cached.owner === null) return false;
    const from = endOf(cached);
    const listing = await this.fetchOwnerListing(cached.owner, job, from, wait);
    if (listing === undefined) {
      cached.owner = null;
      this.owners.delete(job);
      return false;
    }
    // A concurrent read may already have added some of them.
    cached.results.push(...listing.results.slice(endOf(cached) - from));
    cached.pages = Math.max(cached.pages, listing.pages);
    return true;
  }

  /** Appends pages, skipping those that a concurrent read has already added. */
  private extend(cached: CachedJob, pages: readonly (readonly JobResult[])[]): void {
    const seen = new Set(cached.results.map((result) => result.id));
    for (const page of pages) {
      if (page.some((result) => seen.has(result.id))) continue;
      cached.results.push(...page);
      cached.pages += 1;
    }
  }
}

function readFrom(from: ReadOrigin, cached: CachedJob): ListingRead {
  const { tenant, total, offset, results, owner, pages, term } = cached;
  const source = owner === null ? { from, pages } : { from, pages, owner, term };
  return { kind: 'found', value: { tenant, total, offset, results, source } };
}

/** Position after the last cached result. */
function endOf({ offset, results }: CachedJob): number {
  return offset + results.length;
}

function isComplete(cached: CachedJob): boolean {
  return endOf(cached) >= cached.total;
}

/** Adds an entry and evicts the oldest one beyond the limit. */
function addBounded<Value>(
  map: Map<string, Value>,
  key: string,
  value: Value,
  limit: number,
): void {
  map.set(key, value);
  const oldest = map.keys().next();
  if (map.size > limit && oldest.done !== true) map.delete(oldest.value);
}
