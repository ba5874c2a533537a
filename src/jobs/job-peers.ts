/** Requests about jobs to the other nodes. Any of them may stay unanswered. */
import type { ModelName, ZoneName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { CallerIdentity, TenantName } from '../tenants/tenant.js';
import type { DigestedWork } from './item-work-cache.js';
import type { OwnerListing } from './job-reader.js';
import type { JobOwner, JobSpecification } from './job-records.js';
import type { ResultSlice } from './job-results.js';

/** The weights and the amount of work that a job needs from the workers of its model. */
export interface WeightNeed {
  readonly model: ModelName;
  /** Oldest weight version that may generate its results. */
  readonly version: WeightVersion;
  /** Expected output tokens of all items. */
  readonly tokens: number;
  /**
   * The zone whose workers should run the job, or whose region's should, if zones run their own.
   */
  readonly zone?: ZoneName;
}

/** Which node settles a submission. */
export type SubmissionPath =
  /** Another node settled it; without a failure, the job is durably stored. */
  | { readonly kind: 'answered'; readonly failure: Failure | undefined }
  /** No eligible node accepts it, and this node is not eligible. */
  | { readonly kind: 'nowhere'; readonly failure: Failure }
  /** This node must store it; with `mayRunElsewhere`, another node may have accepted it too. */
  | { readonly kind: 'here'; readonly mayRunElsewhere: boolean };

/** An item's body as reported by the owner of its job. */
export interface OwnerItemBody {
  /** The tenant that submitted the job. */
  readonly tenant: TenantName | undefined;
  /** Base64; `undefined` if the job has no such item. */
  readonly body: string | undefined;
}

/** Outcome of a request that another node handled; without a failure, it succeeded. */
export interface ForwardedOutcome {
  readonly failure: Failure | undefined;
}

/**
 * Whether a node has cancelled a job as its owner; `may-be-created` if it does not own the job and may
 * still create it.
 */
export type CancellationAtOwner = boolean | 'may-be-created';

/** Client for the other nodes. */
export interface JobPeers {
  /** Work on items that other nodes have cached, by item id. */
  cachedWork(items: readonly string[]): Promise<ReadonlyMap<string, DigestedWork>>;
  /**
   * The owner's results from position `after` on; `undefined` if it does not answer for the job.
   */
  ownerListing(
    owner: JobOwner,
    job: string,
    after: number,
    wait: Milliseconds,
  ): Promise<OwnerListing | undefined>;
  /** Asks the owner to cancel a job for a caller; returns whether it did. */
  cancelAtOwner(owner: JobOwner, job: string, caller: CallerIdentity): Promise<CancellationAtOwner>;
  /** Asks the previous owner to release a job; returns its work on the items. */
  releaseAtOwner(owner: JobOwner, job: string): Promise<ReadonlyMap<string, DigestedWork>>;
  /** Node incarnations that probably own a job, the likeliest first, without this node. */
  likelyOwners(job: string): readonly JobOwner[];
  /** An item's body from a likely owner; `undefined` if none of them owns the job. */
  bodyAtOwner(job: string, item: string): Promise<OwnerItemBody | undefined>;
  /**
   * Forwards a job to the node that should run it or, if this node cannot reach the store, to a
   * node that can.
   */
  submitElsewhere(spec: JobSpecification): Promise<SubmissionPath>;
  /**
   * Reads results through a node that reaches the store, if this one does not; `undefined` if this
   * node must serve the read.
   */
  readElsewhere(
    job: string,
    after: number,
    wait: Milliseconds,
    caller: CallerIdentity,
  ): Promise<ResultSlice | Failure | undefined>;
  /** Cancels a job through a node that reaches the store; `undefined` as in `readElsewhere`. */
  cancelElsewhere(job: string, caller: CallerIdentity): Promise<ForwardedOutcome | undefined>;
  /** Offers a released job to other nodes in the allowed regions. */
  offerReleased(job: string, allowed?: AllowedRegions): Promise<void>;
  /** Has a node in the allowed regions take over a job of a live owner; returns whether one did. */
  transferMisplaced(job: string, owner: JobOwner, allowed: AllowedRegions): Promise<boolean>;
  /** Reports the weights that a job needs to the coordinator. */
  reportWeightNeed(need: WeightNeed): void;
}
