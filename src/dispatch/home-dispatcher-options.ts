/** What the home dispatcher asks of its node, and of the admission control of its workers. */
import type { GenerationRequest, TokenSegment } from '../core/generation.js';
import type { NodeIdentity, WorkerId } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { DispatchMessage, DispatchOutcome } from './messages.js';

/** A decision of the worker's admission control. */
export type AdmissionDecision =
  | { readonly kind: 'admitted'; readonly preempt: string | null }
  | { readonly kind: 'queued' }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** Admission control as the dispatcher needs it; see `src/routing/home-admission.ts`. */
export interface AdmissionPort {
  admit(
    dispatchId: string,
    request: GenerationRequest,
    worker: WorkerRecord,
    now: Milliseconds,
  ): AdmissionDecision;
  /** Frees the place of a dispatch; returns the queued dispatches that may now start. */
  release(dispatchId: string, now: Milliseconds): readonly string[];
}

/** What the dispatcher asks of its node. */
export interface HomeDispatcherOptions {
  /** This life of the home: what it sends to itself comes once. @default each origin may repeat */
  readonly self?: NodeIdentity;
  readonly send: (to: NodeIdentity, message: DispatchMessage) => void;
  readonly startEngine: (
    dispatchId: string,
    worker: WorkerRecord,
    request: GenerationRequest,
  ) => void;
  readonly cancelEngine: (dispatchId: string, worker: WorkerRecord) => void;
  readonly admission: AdmissionPort;
  /** The worker's record, or why it takes no work from this node now. */
  readonly acceptable: (
    worker: WorkerId,
    request: GenerationRequest,
    now: Milliseconds,
  ) => { readonly worker: WorkerRecord } | { readonly failure: Failure };
  readonly outcomeSeen: (worker: WorkerId, outcome: DispatchOutcome, now: Milliseconds) => void;
  /**
   * Why a training answer must not go on after a reported run of tokens; `null` where it may.
   * @param oldest the oldest version of the answer so far, `undefined` before its first token.
   * @default no check
   */
  readonly segmentFault?: (
    request: GenerationRequest,
    previous: TokenSegment | undefined,
    segment: TokenSegment,
    oldest: WeightVersion | undefined,
  ) => Failure | null;
  /** Whether what was made of a training answer is given to the origin. @default true */
  readonly resume?: boolean;
  /** Whether repeated dispatches are recognised; off only in the lab. @default true */
  readonly deduplicate?: boolean;
  /** Whether a query for an unknown dispatch bars it from running later. @default true */
  readonly barUnknown?: boolean;
  /** Time between repetitions of an outcome. @default 400 */
  readonly repeatInterval?: Milliseconds;
}
