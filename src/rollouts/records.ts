/**
 * What the ledger's registers hold, and under which keys.
 */
import type { AccountName, IntentName, ModelName, NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { ErrorKind, Failure } from '../errors/error-kinds.js';

/** A step of a trainer. */
export interface StepRecord {
  readonly kind: 'step';
  readonly stepId: string;
  readonly account: AccountName;
  readonly intent: IntentName;
  readonly model: ModelName;
  /** Digest of the body that holds the step's samples. */
  readonly samplesDigest: string;
  readonly sampleCount: number;
  /** Time from submission after which the step is closed. */
  readonly timeout: Milliseconds;
  /** All positions below were acknowledged; never goes back. */
  readonly acknowledged: number;
  /** `expired`: ended a while ago; its pages and results are gone. */
  readonly state: 'open' | 'complete' | 'closed' | 'expired';
}

/** One delivered sample: its place in the page is its position. */
export interface DeliveryEntry {
  readonly key: string;
  /** Digest of the body that holds the result. */
  readonly digest: string;
}

/** Why a step's delivery log was closed. */
export interface ClosingMark {
  readonly kind: ErrorKind;
  readonly detail: string;
}

/** One page of a step's delivery log; entries are appended, never changed. */
export interface DeliveryPage {
  readonly kind: 'page';
  readonly page: number;
  readonly entries: readonly DeliveryEntry[];
  /** Set once: nothing is appended to this page or a later one. */
  readonly closed: ClosingMark | null;
}

/** A request that may run at most once. */
export interface RequestRecord {
  readonly kind: 'request';
  /** Digest of the request's body: the same key with another body is a conflict. */
  readonly bodyDigest: string;
  /** The one attempt that may dispatch. */
  readonly attempt: string;
  readonly claimedBy: NodeIdentity;
  readonly state:
    | { readonly kind: 'claimed' }
    /** The attempt ended without any engine having accepted the work; it may be claimed anew. */
    | { readonly kind: 'not-run' }
    | { readonly kind: 'done'; readonly resultDigest: string }
    | { readonly kind: 'unknown'; readonly failure: Failure };
}

/** The value of a register. */
export type LedgerRecord = StepRecord | DeliveryPage | RequestRecord;

/** Prefix of the keys of all step records. */
export const STEP_PREFIX = 'step/';

/** Key of a step's record, which also picks the shard of everything that belongs to the step. */
export function stepKey(account: AccountName, stepId: string): string {
  return `${STEP_PREFIX}${account}/${stepId}`;
}

/** Prefix of the keys of a step's delivery pages. */
export function pagePrefix(step: string): string {
  return `page/${step}/`;
}

/** Key of one page of a step's delivery log. */
export function pageKey(step: string, page: number): string {
  return `${pagePrefix(step)}${page}`;
}

/** Prefix of the keys of all requests that may run at most once. */
export const REQUEST_PREFIX = 'request/';

/** Key of a request that may run at most once. */
export function requestKey(account: AccountName, idempotencyKey: string): string {
  return `${REQUEST_PREFIX}${account}/${idempotencyKey}`;
}
