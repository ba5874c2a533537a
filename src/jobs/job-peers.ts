/** What a node asks the other nodes about jobs. Every answer may fail to come. */
import type { ModelName, ZoneName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { CallerIdentity, TenantName } from '../tenants/tenant.js';
import type { DigestedWork } from './item-work-cache.js';
import type { OwnerListing } from './job-reader.js';
import type { JobOwner, JobSpecification } from './job-records.js';
import type { ResultSlice } from './job-results.js';

/** What a job asks of the workers of its model. */
export interface WeightNeed {
  readonly model: ModelName;
  /** Oldest version that may make its results. */
  readonly version: WeightVersion;
  /** Tokens that its items are expected to make. */
  readonly tokens: number;
  /** The zone whose workers, or whose region's, are to run it, where these run their own jobs. */
  readonly zone?: ZoneName;
}

/** Where a submission is settled. */
export type SubmissionPath =
  /** Another node settled it; no failure means that the job is kept. */
  | { readonly kind: 'answered'; readonly failure: Failure | undefined }
  /** No node that may hold it takes it, and this one may not hold it. */
  | { readonly kind: 'nowhere'; readonly failure: Failure }
  /** It is for this node to store; with `mayRunElsewhere` another node may have taken it too. */
  | { readonly kind: 'here'; readonly mayRunElsewhere: boolean };

/** What a likely owner told of an item. */
export interface OwnerItemBody {
  /** The tenant that submitted the job. */
  readonly tenant: TenantName | undefined;
  /** Base64; `undefined` where the job has no such item. */
  readonly body: string | undefined;
}

/** What another node answered in this one's place; no failure means that it was done. */
export interface ForwardedOutcome {
  readonly failure: Failure | undefined;
}

/** The other nodes, as the jobs' modules see them. */
export interface JobPeers {
  /** What other nodes kept of items, by item id. */
  cachedWork(items: readonly string[]): Promise<ReadonlyMap<string, DigestedWork>>;
  /** Results behind a position, from the owner; `undefined` where it does not tell. */
  ownerListing(
    owner: JobOwner,
    job: string,
    after: number,
    wait: Milliseconds,
  ): Promise<OwnerListing | undefined>;
  /** Asks the owner to end a job on a caller's behalf; tells whether it did. */
  cancelAtOwner(owner: JobOwner, job: string, caller: CallerIdentity): Promise<boolean>;
  /** Has the owner of before give a job up; what it made of the items. */
  releaseAtOwner(owner: JobOwner, job: string): Promise<ReadonlyMap<string, DigestedWork>>;
  /** Lives of nodes that probably run a job, the likeliest first, without this node. */
  likelyOwners(job: string): readonly JobOwner[];
  /** Has a likely owner tell the body of an item; `undefined` where none does. */
  bodyAtOwner(job: string, item: string): Promise<OwnerItemBody | undefined>;
  /**
   * Has the node that is to run a job take it in, or where this node does not reach the store one
   * that does.
   */
  submitElsewhere(spec: JobSpecification): Promise<SubmissionPath>;
  /**
   * Where this node does not reach the store and another one does, that one reads results or ends a
   * job in its place; `undefined` where it is for this node to do.
   */
  readElsewhere(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure | undefined>;
  cancelElsewhere(job: string, caller: CallerIdentity): Promise<ForwardedOutcome | undefined>;
  /** Offers a released job to another node that may hold it. */
  offerReleased(job: string, allowed?: AllowedRegions): Promise<void>;
  /** Has a node that may hold a job take it from a live owner; tells whether one did. */
  transferMisplaced(job: string, owner: JobOwner, allowed: AllowedRegions): Promise<boolean>;
  /** Tells the coordinator what a job needs. */
  reportWeightNeed(need: WeightNeed): void;
}
