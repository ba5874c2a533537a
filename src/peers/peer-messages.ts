/** Requests and answers between the nodes of a fleet, and the ports that carry them. */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { WeightChange } from '../fleet/weight-changes.js';
import type { DigestedWork } from '../jobs/item-work-cache.js';
import type { WeightNeed } from '../jobs/job-peers.js';
import type { JobOwner, JobResult, JobSpecification } from '../jobs/job-records.js';
import type { ResultSlice } from '../jobs/job-results.js';
import type { JournalAnswers, JournalRequest } from '../journal/journal-entries.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { PermitAnswer, PermitRequest } from '../placement/cold-permits.js';
import type { CrashReport } from '../serving/request-quarantine.js';
import type { StoreChange, StoreItem } from '../shared-store/shared-store.js';
import type { UsageSource, WindowCounts } from '../singleton-tasks/usage-counts.js';
import type { CallerIdentity, TenantName } from '../tenants/tenant.js';

/** A request to a gateway or to a replica of a zone's journal. */
export type PeerRequest = GatewayRequest | JournalRequest;

export type GatewayRequest =
  /** Whether this incarnation of the node is still running. */
  | { readonly kind: 'probe'; readonly owner: JobOwner }
  /** Reads the cached work of these items. */
  | {
      readonly kind: 'kept-work';
      readonly items: readonly string[];
      /** Zone of the sender; absent from older builds. */
      readonly zone?: ZoneName;
    }
  /** Reads results after a position from the owner of a job; waits up to `wait` for the first. */
  | {
      readonly kind: 'job-results';
      readonly job: string;
      readonly after: number;
      readonly wait: Milliseconds;
    }
  /** Cancels a job at its owner. */
  | { readonly kind: 'end-job'; readonly job: string; readonly caller: CallerIdentity }
  /**
   * Sent by the new owner of a job to the previous one: release the job and return the work done on
   * its items. The previous owner may not have seen the change in the store yet.
   */
  | {
      readonly kind: 'surrender-job';
      readonly job: string;
      /** Zone of the sender; absent from older builds. */
      readonly zone?: ZoneName;
    }
  /** Submits a job on behalf of a gateway that can't reach the store. */
  | {
      readonly kind: 'submit-for';
      readonly spec: JobSpecification;
      /** Time for which the sender waits, also during an outage of the store. */
      readonly limit: Milliseconds;
      /** Whether the job was submitted in a zone that may not store it. @default false */
      readonly isFromOutside?: boolean;
    }
  /** Reads results on behalf of a gateway that can't reach the store. */
  | {
      readonly kind: 'read-for';
      readonly job: string;
      readonly after: number;
      readonly wait: Milliseconds;
      readonly caller: CallerIdentity;
    }
  /** Cancels a job on behalf of a gateway that can't reach the store. */
  | { readonly kind: 'end-for'; readonly job: string; readonly caller: CallerIdentity }
  /** Takes over a job whose owner has terminated, or answers but can't reach the store. */
  | {
      readonly kind: 'adopt-job';
      readonly job: string;
      readonly owner: JobOwner;
      readonly ownerAnswers: boolean;
    }
  /** Reads the body of an item from the owner of its job. */
  | { readonly kind: 'item-body'; readonly job: string; readonly item: string }
  /** Takes a job that its owner has just released. */
  | { readonly kind: 'take-job'; readonly job: string }
  /** Waits for changes under a prefix of the shared store, from the receiver's own copy. */
  | {
      readonly kind: 'follow-prefix';
      readonly prefix: string;
      readonly after: Revision;
      readonly wait: Milliseconds;
      /** The sender is a relay: answer only from a watch on the store, not on another relay. */
      readonly forRelay?: boolean;
      /**
       * Maximum age of the receiver's data; once it is older, the receiver answers at once that it
       * is not current. Absent from older builds, for which the receiver's own limit applies.
       */
      readonly maxAge?: Milliseconds;
    }
  /** Lists a prefix of the shared store, from the receiver's own copy. */
  | {
      readonly kind: 'list-prefix';
      readonly prefix: string;
      readonly forRelay?: boolean;
      /** As in `follow-prefix`. */
      readonly maxAge?: Milliseconds;
    }
  /** Stops the orders of a coordinator whose lock the sender holds or is about to acquire. */
  | { readonly kind: 'resign-coordinator' }
  /** Reports the sender's request counts to the holder of the singleton tasks. */
  | { readonly kind: 'usage-counts'; readonly source: UsageSource; readonly counts: WindowCounts }
  /** Reports a crash of a worker, and the requests that it was running. */
  | { readonly kind: 'worker-ended'; readonly report: CrashReport }
  /** Notifies nodes that run jobs that a worker changes its weights. */
  | { readonly kind: 'weights-change'; readonly change: WeightChange }
  /** Requests permits for cold workers from the coordinator. */
  | { readonly kind: 'cold-permits'; readonly wishes: readonly PermitRequest[] }
  /** Reports the weights that a job needs to the coordinator. */
  | { readonly kind: 'need-weights'; readonly need: WeightNeed };

/** How old the data in an answer is. */
export interface AnswerFreshness {
  /** Time for which changes of the store may be missing, when the answer was sent. */
  readonly age: Milliseconds;
  /** Time for which the request waited at the receiver. */
  readonly heldFor: Milliseconds;
}

/** Answers by the kind of the request. */
export interface PeerAnswers extends JournalAnswers {
  readonly probe: {
    readonly isAlive: boolean;
    /** Whether the store has recently answered the node. */
    readonly reachesStore: boolean;
    /** Whether the node runs jobs, relays the store or coordinates. */
    readonly hasDuties: boolean;
  };
  readonly 'kept-work': { readonly work: ReadonlyMap<string, DigestedWork> };
  readonly 'job-results':
    | { readonly isOwner: false }
    | {
        readonly isOwner: true;
        /** The tenant that submitted the job. */
        readonly tenant: TenantName | undefined;
        readonly total: number;
        readonly results: readonly JobResult[];
        /** Number of result pages up to the last of `results`, if they end with a page. */
        readonly pages: number;
        /** Regions that may store the results; `undefined` if any may. */
        readonly allowedRegions?: AllowedRegions;
      };
  readonly 'end-job': {
    readonly isEnded: boolean;
    /** Whether this node may still create the job. Absent from older builds. */
    readonly mayBeCreated?: boolean;
  };
  readonly 'surrender-job': { readonly work: ReadonlyMap<string, DigestedWork> };
  /** `failure` is `undefined` if the job is stored. */
  readonly 'submit-for': { readonly failure: Failure | undefined };
  readonly 'read-for': { readonly read: ResultSlice | Failure };
  readonly 'end-for': { readonly failure: Failure | undefined };
  readonly 'adopt-job': { readonly isTaken: boolean };
  /** `body` is base64; `undefined` if the job has no such item. */
  readonly 'item-body':
    | { readonly isOwner: false }
    | {
        readonly isOwner: true;
        readonly tenant: TenantName | undefined;
        readonly body: string | undefined;
      };
  readonly 'take-job': { readonly isTaken: boolean };
  readonly 'follow-prefix': /** The node may have lost its watch on the store. */
    | {
        readonly isCurrent: false;
        /**
         * The node's lease is renewed and its read of the store is under way, so it may be current
         * again shortly. @default false
         */
        readonly isReadingStore?: boolean;
      }
    /** The node no longer has changes from that revision on: list the prefix again. */
    | { readonly isCurrent: true; readonly changes: undefined }
    | {
        readonly isCurrent: true;
        readonly changes: readonly StoreChange[];
        /** The next request continues from here. */
        readonly revision: Revision;
        /** Absent from older builds, and if the request has no `maxAge`. */
        readonly freshness?: AnswerFreshness;
      };
  readonly 'list-prefix':
    | { readonly isCurrent: false }
    | {
        readonly isCurrent: true;
        readonly items: readonly StoreItem[];
        /** A watch continues from here. */
        readonly revision: Revision;
      };
  /** Time since the node's last order completed, at most since its start; 0 while one is pending. */
  readonly 'resign-coordinator': { readonly lastOrderAge: Milliseconds };
  readonly 'worker-ended': { readonly isNoted: boolean };
  readonly 'usage-counts': { readonly isNoted: boolean };
  readonly 'weights-change': { readonly isNoted: boolean };
  readonly 'cold-permits': PermitAnswer;
  readonly 'need-weights': { readonly isNoted: boolean };
}

/** A request of one kind. */
export type PeerRequestOf<Kind extends PeerRequest['kind']> = Extract<PeerRequest, { kind: Kind }>;

/** Handles the requests of other nodes. */
export interface PeerHandler {
  /** Resolves with `undefined` for a kind that this node does not support. */
  answer(request: PeerRequest): Promise<PeerAnswers[PeerRequest['kind']] | undefined>;
}

/**
 * Outcome of a request. `unsupported`: the node runs, but its build does not support the kind and did
 * not act on the request; `refused`: nothing listens at the address, so the process has terminated;
 * `silent`: no answer in time, or the connection broke.
 */
export type PeerOutcome<Kind extends PeerRequest['kind']> =
  | { readonly kind: 'answered'; readonly answer: PeerAnswers[Kind] }
  | { readonly kind: 'unsupported' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'silent' }
  | { readonly kind: 'unsent' };

/** Sends requests to other nodes. */
export interface PeerPort {
  request<Kind extends PeerRequest['kind']>(
    address: string,
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<PeerOutcome<Kind>>;
}
