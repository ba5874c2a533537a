/** What nodes of a fleet ask each other directly. */
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

/** A question to one node: a gateway, or a replica of a zone's journal. */
export type PeerRequest = GatewayRequest | JournalRequest;

/** A question to a gateway. */
export type GatewayRequest =
  /** Is this life of you still running? */
  | { readonly kind: 'probe'; readonly owner: JobOwner }
  /** What have you kept of these items? */
  | {
      readonly kind: 'kept-work';
      readonly items: readonly string[];
      /** Where the node that asks stands; older builds do not tell. */
      readonly zone?: ZoneName;
    }
  /** Which results are listed from a position on, as the owner of the job knows? */
  | {
      readonly kind: 'job-results';
      readonly job: string;
      readonly after: number;
      readonly wait: Milliseconds;
    }
  /** End this job, as its owner. */
  | { readonly kind: 'end-job'; readonly job: string; readonly caller: CallerIdentity }
  /** This job is mine now: what have you made of it? The store may not have told you yet. */
  | {
      readonly kind: 'surrender-job';
      readonly job: string;
      /** Where the node that asks stands; older builds do not tell. */
      readonly zone?: ZoneName;
    }
  /** I don't reach the store: take this job in for me. */
  | {
      readonly kind: 'submit-for';
      readonly spec: JobSpecification;
      /** Time for which it is waited for; also in an outage of the store. */
      readonly limit: Milliseconds;
      /** Whether it was handed in where it may not lie. @default it was not */
      readonly isFromOutside?: boolean;
    }
  /** I don't reach the store: read these results for me. */
  | {
      readonly kind: 'read-for';
      readonly job: string;
      readonly after: number;
      readonly wait: Milliseconds;
      readonly caller: CallerIdentity;
    }
  /** I don't reach the store: end this job for me. */
  | { readonly kind: 'end-for'; readonly job: string; readonly caller: CallerIdentity }
  /** Take this job over, whose owner is gone, or answers and does not reach the store. */
  | {
      readonly kind: 'adopt-job';
      readonly job: string;
      readonly owner: JobOwner;
      readonly ownerAnswers: boolean;
    }
  /** What is the body of this item of a job that you run? */
  | { readonly kind: 'item-body'; readonly job: string; readonly item: string }
  /** Take this job, which was just released. */
  | { readonly kind: 'take-job'; readonly job: string }
  /** What has changed under a prefix of the shared store, as you saw it there? */
  | {
      readonly kind: 'follow-prefix';
      readonly prefix: string;
      readonly after: Revision;
      readonly wait: Milliseconds;
      /** Another relay asks, to tell its own followers: only what you follow at the store counts. */
      readonly forRelay?: boolean;
    }
  /** What lies under a prefix of the shared store, as you saw it there? */
  | { readonly kind: 'list-prefix'; readonly prefix: string; readonly forRelay?: boolean }
  /** Give no more orders as coordinator: the lock is mine, or is about to be. */
  | { readonly kind: 'resign-coordinator' }
  /** What workers began to run for me; told to the holder of the duties. */
  | { readonly kind: 'usage-counts'; readonly source: UsageSource; readonly counts: WindowCounts }
  /** A worker ended, and these requests were there. */
  | { readonly kind: 'worker-ended'; readonly report: CrashReport }
  /** A worker changes weights; told to the nodes that run jobs. */
  | { readonly kind: 'weights-change'; readonly change: WeightChange }
  /** How warm are these workers, and may I send them requests? Asked of the coordinator. */
  | { readonly kind: 'cold-permits'; readonly wishes: readonly PermitRequest[] }
  /** What a job needs; told to the coordinator. */
  | { readonly kind: 'need-weights'; readonly need: WeightNeed };

/** The answer to a question, by its kind. */
export interface PeerAnswers extends JournalAnswers {
  readonly probe: {
    readonly isAlive: boolean;
    /** Whether the store has answered it lately. */
    readonly reachesStore: boolean;
    /** Whether others would miss it at once: it runs jobs, relays the store or gives orders. */
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
        /** Pages of results up to the last one of `results`, where they end with a page. */
        readonly pages: number;
        /** Where they may be kept; `undefined` where anywhere. */
        readonly allowedRegions?: AllowedRegions;
      };
  readonly 'end-job': { readonly isEnded: boolean };
  readonly 'surrender-job': { readonly work: ReadonlyMap<string, DigestedWork> };
  /** `failure` is undefined where the job is kept. */
  readonly 'submit-for': { readonly failure: Failure | undefined };
  readonly 'read-for': { readonly read: ResultSlice | Failure };
  readonly 'end-for': { readonly failure: Failure | undefined };
  readonly 'adopt-job': { readonly isTaken: boolean };
  /** `body` is base64, and undefined where the job has no such item. */
  readonly 'item-body':
    | { readonly isOwner: false }
    | {
        readonly isOwner: true;
        readonly tenant: TenantName | undefined;
        readonly body: string | undefined;
      };
  readonly 'take-job': { readonly isTaken: boolean };
  readonly 'follow-prefix': /** The node does not surely hear from the store. */
    | { readonly isCurrent: false }
    /** The node does not know that far back: list the prefix anew. */
    | { readonly isCurrent: true; readonly changes: undefined }
    | {
        readonly isCurrent: true;
        readonly changes: readonly StoreChange[];
        /** The next question goes on from here. */
        readonly revision: Revision;
      };
  readonly 'list-prefix':
    | { readonly isCurrent: false }
    | {
        readonly isCurrent: true;
        readonly items: readonly StoreItem[];
        /** A watch goes on from here. */
        readonly revision: Revision;
      };
  /** Time since the machine's last order ended, at the latest when this life of it began. */
  readonly 'resign-coordinator': { readonly lastOrderAge: Milliseconds };
  readonly 'worker-ended': { readonly isNoted: boolean };
  readonly 'usage-counts': { readonly isNoted: boolean };
  readonly 'weights-change': { readonly isNoted: boolean };
  readonly 'cold-permits': PermitAnswer;
  readonly 'need-weights': { readonly isNoted: boolean };
}

/** A question of one kind. */
export type PeerRequestOf<Kind extends PeerRequest['kind']> = Extract<PeerRequest, { kind: Kind }>;

/** Answers the questions of other nodes. */
export interface PeerHandler {
  /** `undefined` where it does not answer such a kind, which a newer build may know. */
  answer(request: PeerRequest): Promise<PeerAnswers[PeerRequest['kind']] | undefined>;
}

/**
 * Outcome of a question. `unsupported`: the node lives, has not acted on the question and never will,
 * as its build does not know the kind, so the asker does without; `refused`: nobody listens there, so
 * the process is gone; `silent`: no answer in time, or the connection broke.
 */
export type PeerOutcome<Kind extends PeerRequest['kind']> =
  | { readonly kind: 'answered'; readonly answer: PeerAnswers[Kind] }
  | { readonly kind: 'unsupported' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'silent' };

/** Asks other nodes. */
export interface PeerPort {
  request<Kind extends PeerRequest['kind']>(
    address: string,
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<PeerOutcome<Kind>>;
}
