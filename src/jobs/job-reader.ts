/**
 * Reads jobs that other nodes own. Listed results and specifications are immutable and are cached;
 * missing results are requested from the likely owners of the job first and then from the store. A
 * node that may not store a job forwards its results without caching them.
 */
import type { Milliseconds } from '../core/units.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import { type JobResidency, UNRESTRICTED_RESIDENCY } from '../placement/job-residency.js';
import type { TenantName } from '../tenants/tenant.js';
import type { JobOwner, JobResult, JobSpecification } from './job-records.js';
import type { JobStore, Read } from './job-store.js';

/** Cache sizes in jobs: results, and specifications. */
const KEPT_JOBS = 48;
const KEPT_SPECIFICATIONS = 8;

/** Cached state of a job. */
interface KnownJob {
  readonly tenant: TenantName | undefined;
  readonly total: number;
  /** The owner when the job was last read; `null` if none is known. */
  owner: JobOwner | null;
  pages: number;
  /**
   * Position of the first of `results`. Earlier results are not fetched for a read from a later
   * position, because texts are most of the traffic between zones.
   */
  readonly offset: number;
  readonly results: JobResult[];
}

/** Cached state of a job whose results this node may not store. */
type JobPlace = Pick<KnownJob, 'tenant' | 'total' | 'owner'>;

/** Results of a job as read. */
export interface JobListing {
  /** The tenant that submitted the job. */
  readonly tenant: TenantName | undefined;
  readonly total: number;
  /** Position of the first of `results`. */
  readonly offset: number;
  readonly results: readonly JobResult[];
}

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
export type AskOwner = (
  owner: JobOwner,
  job: string,
  after: number,
  wait: Milliseconds,
) => Promise<OwnerListing | undefined>;

/** Reads jobs from their owners and from the store. */
export class JobReader {
  private readonly jobs = new Map<string, KnownJob>();
  private readonly places = new Map<string, JobPlace>();
  private readonly specifications = new Map<string, JobSpecification>();

  constructor(
    private readonly store: JobStore,
    private readonly askOwner: AskOwner,
    /** Node incarnations that probably own a job, the likeliest first; tried before the store. */
    private readonly likelyOwners: (job: string) => readonly JobOwner[] = () => [],
    /** The zones' journals, if zones accept jobs without the store. */
    private readonly journals?: Pick<ZoneJournals, 'entryStatus' | 'entryStatusInAllZones'>,
    private readonly residency: JobResidency = UNRESTRICTED_RESIDENCY,
  ) {}

  /**
   * Results of a job from a position on, at least up to those that were listed when the call came;
   * also those before the position where they are at hand.
   */
  async listing(job: string, after: number, wait: Milliseconds): Promise<Read<JobListing>> {
    const kept = this.jobs.get(job);
    const known = kept === undefined || after < kept.offset ? undefined : kept;
    if (known !== undefined && (after < endOf(known) || isWhole(known))) {
      return { kind: 'found', value: known };
    }
    const opened = known ?? this.openAtPlace(job, after) ?? (await this.open(job, after));
    if ('kind' in opened) return opened;
    if (after < endOf(opened)) return { kind: 'found', value: opened };
    if (await this.readFromOwner(job, opened, wait)) return { kind: 'found', value: opened };
    return this.readFromStore(job, opened, after);
  }

  /** Reads results from the store, unless a journal may have listed more. */
  private async readFromStore(
    job: string,
    opened: KnownJob,
    after: number,
  ): Promise<Read<JobListing>> {
    // Page numbers are relative to the first position.
    const whole = opened.offset === 0 ? opened : await this.openAtStore(job);
    if ('kind' in whole) return whole;
    return this.readPages(job, whole, after);
  }

  private async readPages(job: string, known: KnownJob, after: number): Promise<Read<JobListing>> {
    // The journal is checked first: entries released after that are already in the store.
    const isAll = await this.isStoreComplete(job);
    const read = await this.store.results(job, known.pages);
    if (read.kind !== 'found') return { kind: 'unavailable' };
    this.extend(known, read.value);
    const isTold = after < endOf(known) || isAll;
    return isTold ? { kind: 'found', value: known } : { kind: 'unavailable' };
  }

  /** Whether the store certainly has all listed results of a job. */
  private async isStoreComplete(job: string): Promise<boolean> {
    const { journals } = this;
    if (journals === undefined) return true;
    const read = await this.store.head(job);
    if (read.kind !== 'found') return false;
    const { head } = read.value;
    // A job cancelled in the store may have results that only its partitioned zone has listed.
    if (head.replicas === undefined || head.listed >= head.total) return true;
    return (await journals.entryStatus(job, head.replicas)) === 'not-held';
  }

  /** Whether a job that the store does not have certainly does not exist. */
  async isSurelyAbsent(job: string): Promise<boolean> {
    const { journals } = this;
    if (journals === undefined) return true;
    if ((await journals.entryStatusInAllZones(job)) !== 'not-held') return false;
    // Entries released from a journal meanwhile are already in the store.
    return (await this.store.head(job)).kind === 'absent';
  }

  /** Reads the specification of a job. */
  async specification(job: string): Promise<Read<JobSpecification>> {
    const known = this.specifications.get(job);
    if (known !== undefined) return { kind: 'found', value: known };
    const read = await this.store.specification(job);
    if (read.kind === 'absent' && !(await this.isSurelyAbsent(job))) return { kind: 'unavailable' };
    if (read.kind !== 'found') return read;
    const mayKeep = this.residency.mayHoldHere(this.residency.regionsForSpec(read.value));
    if (mayKeep) keep(this.specifications, job, read.value, KEPT_SPECIFICATIONS);
    return read;
  }

  private openAtPlace(job: string, after: number): KnownJob | undefined {
    const place = this.places.get(job);
    return place === undefined ? undefined : { ...place, pages: 0, offset: after, results: [] };
  }

  /** Caches the state of a job, without results if this node may not store them. */
  private keepJob(job: string, known: KnownJob, allowed: AllowedRegions): void {
    const { tenant, total, owner } = known;
    if (this.residency.mayHoldHere(allowed)) keep(this.jobs, job, known, KEPT_JOBS);
    else keep(this.places, job, { tenant, total, owner }, KEPT_JOBS);
  }

  private async open(job: string, after: number): Promise<KnownJob | Read<never>> {
    return (await this.openAtOwner(job, after)) ?? this.openAtStore(job);
  }

  private async openAtOwner(job: string, after: number): Promise<KnownJob | undefined> {
    for (const owner of this.likelyOwners(job)) {
      const listing = await this.askOwner(owner, job, after, 0);
      if (listing === undefined) continue;
      const { tenant, total, pages, results, allowedRegions } = listing;
      const opened = { tenant, total, owner, pages, offset: after, results: [...results] };
      // Without results, `after` is the caller's position and may exceed the listed results.
      if (after === 0 || results.length > 0) this.keepJob(job, opened, allowedRegions);
      return opened;
    }
    return undefined;
  }

  private async openAtStore(job: string): Promise<KnownJob | Read<never>> {
    const read = await this.store.head(job);
    if (read.kind === 'absent' && !(await this.isSurelyAbsent(job))) return { kind: 'unavailable' };
    if (read.kind !== 'found') return read;
    const { tenant, total, owner, ended } = read.value.head;
    const runsAt = ended ? null : owner;
    const opened = { tenant, total, owner: runsAt, pages: 0, offset: 0, results: [] };
    this.keepJob(job, opened, this.residency.regionsForOrigin(read.value.head));
    return opened;
  }

  private async readFromOwner(job: string, known: KnownJob, wait: Milliseconds): Promise<boolean> {
    if (known.owner === null) return false;
    const from = endOf(known);
    const listing = await this.askOwner(known.owner, job, from, wait);
    if (listing === undefined) {
      known.owner = null;
      this.places.delete(job);
      return false;
    }
    // A concurrent read may already have added some of them.
    known.results.push(...listing.results.slice(endOf(known) - from));
    known.pages = Math.max(known.pages, listing.pages);
    return true;
  }

  /** Appends pages, skipping those that a concurrent read has already added. */
  private extend(known: KnownJob, pages: readonly (readonly JobResult[])[]): void {
    const seen = new Set(known.results.map((result) => result.id));
    for (const page of pages) {
      if (page.some((result) => seen.has(result.id))) continue;
      known.results.push(...page);
      known.pages += 1;
    }
  }
}

/** Position after the last cached result. */
function endOf({ offset, results }: KnownJob): number {
  return offset + results.length;
}

function isWhole(known: KnownJob): boolean {
  return endOf(known) >= known.total;
}

/** Adds an entry and evicts the oldest one beyond the limit. */
function keep<Value>(map: Map<string, Value>, key: string, value: Value, limit: number): void {
  map.set(key, value);
  const oldest = map.keys().next();
  if (map.size > limit && oldest.done !== true) map.delete(oldest.value);
}
