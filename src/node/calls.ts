/**
 * Calls that reach a node from outside, after authentication and schema checks, and the replies
 * it gives. The gateway turns HTTP into calls and replies into HTTP.
 */
import type { DrainTarget, Intent, PublishedVersion } from '../config-feed/configuration.js';
import type { GenerationResult, TokenSegment } from '../core/generation.js';
import type { AccountName, ModelName } from '../core/identity.js';
import type { Milliseconds, Revision, TokenCount } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';

/** One sample a trainer asks for. */
export interface SampleRequest {
  /** Unique within the step. */
  readonly key: string;
  readonly prompt: string;
  readonly maxTokens: TokenCount;
  readonly samplingSeed: number;
}

/** A sample at its place in the step's delivery order. */
export interface DeliveredSample {
  /** Counted from 0 in order of delivery; assigned once. */
  readonly position: number;
  readonly key: string;
  readonly result: GenerationResult;
}

/** What a caller asks of a node. Deadlines are on the node's own clock. */
export type NodeCall =
  | {
      readonly kind: 'generate';
      readonly account: AccountName;
      readonly model: ModelName;
      readonly prompt: string;
      readonly maxTokens: TokenCount;
      readonly samplingSeed: number;
      /** `null` where the caller gave none; then a repeat is a new request. */
      readonly idempotencyKey: string | null;
      readonly repeatable: boolean;
      readonly deadline: Milliseconds;
      readonly stream: boolean;
    }
  | {
      readonly kind: 'step-submit';
      readonly account: AccountName;
      readonly model: ModelName;
      readonly stepId: string;
      readonly samples: readonly SampleRequest[];
      /** Time from submission after which the step is closed. */
      readonly timeout: Milliseconds;
    }
  | {
      readonly kind: 'step-read';
      readonly account: AccountName;
      readonly stepId: string;
      readonly cursor: number;
      readonly limit: number;
      readonly deadline: Milliseconds;
    }
  | {
      readonly kind: 'step-acknowledge';
      readonly account: AccountName;
      readonly stepId: string;
      readonly cursor: number;
    }
  | {
      /** The trainer stops waiting: the step is closed at once. */
      readonly kind: 'step-close';
      readonly account: AccountName;
      readonly stepId: string;
    }
  | { readonly kind: 'intent-propose'; readonly account: AccountName; readonly draft: Intent }
  | {
      readonly kind: 'intent-confirm';
      readonly account: AccountName;
      readonly planId: string;
    }
  | { readonly kind: 'intent-show'; readonly account: AccountName }
  | { readonly kind: 'intent-history'; readonly account: AccountName }
  | {
      readonly kind: 'version-publish';
      readonly account: AccountName;
      readonly model: ModelName;
      readonly version: PublishedVersion;
    }
  | {
      readonly kind: 'drain';
      readonly account: AccountName;
      readonly target: DrainTarget;
      readonly reason: string;
      /** False takes an earlier drain back. */
      readonly drained: boolean;
    }
  | { readonly kind: 'status'; readonly account: AccountName }
  | { readonly kind: 'explain'; readonly account: AccountName; readonly subject: string };

/** Where reading a step stands. */
export interface StepPage {
  readonly stepId: string;
  readonly samples: readonly DeliveredSample[];
  /** Cursor to read from next. */
  readonly nextCursor: number;
  readonly acknowledged: number;
  readonly sampleCount: number;
  /** `open`, all delivered, or closed before that. */
  readonly state: 'open' | 'complete' | 'closed';
  /** Present when closed early: why, and when to come back. */
  readonly failure: Failure | null;
}

/** One decision taken about a request, step, worker or group, kept to be explained. */
export interface ExplainRecord {
  /** Milliseconds on the node's clock. */
  readonly at: Milliseconds;
  readonly subject: string;
  readonly decision: string;
  readonly reason: string;
}

/** The body of a successful reply; operator answers are plain serializable records. */
export type ReplyBody =
  | { readonly kind: 'generated'; readonly result: GenerationResult }
  | {
      readonly kind: 'step-accepted';
      readonly stepId: string;
      readonly sampleCount: number;
      /** True when the same step had been submitted before. */
      readonly repeated: boolean;
    }
  | { readonly kind: 'step-page'; readonly page: StepPage }
  | { readonly kind: 'step-acknowledged'; readonly stepId: string; readonly cursor: number }
  | { readonly kind: 'step-closed'; readonly stepId: string }
  | { readonly kind: 'operator'; readonly document: OperatorDocument }
  | { readonly kind: 'accepted'; readonly revision: Revision };

/** A document for operators, shown as JSON or as a table. */
export type OperatorDocument = Readonly<Record<string, unknown>>;

/** What a node sends back for one call: any number of segments, then one final reply. */
export type CallReply =
  | { readonly kind: 'segment'; readonly segment: TokenSegment; readonly text: string }
  | { readonly kind: 'done'; readonly body: ReplyBody }
  | { readonly kind: 'failed'; readonly failure: Failure };

/** Whether a node may be given work. */
export interface Readiness {
  readonly ready: boolean;
  /** Why, in a few words; shown at `/readyz`. */
  readonly reason: string;
}
