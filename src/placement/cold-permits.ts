/** Messages between gateways and the permit granter about cold workers. */
import type { Milliseconds, Revision } from '../core/units.js';
import type { WorkerIncarnation } from '../serving/worker-incarnation.js';
import type { Warmth } from './worker-warmth.js';

/**
 * Validity of a permit, counted from the sending of its request. The grant comes later, so no
 * permit is used longer than this after its grant, however late the answer arrives.
 */
export const PERMIT_VALIDITY: Milliseconds = 250;

/** A gateway's request for permits for one worker. */
export interface PermitRequest {
  readonly worker: string;
  readonly life: WorkerIncarnation;
  readonly permits: number;
  /**
   * Age of the event after which the requester no longer considers the worker warm; `undefined`
   * where there was none and the requester has no information yet.
   */
  readonly doubtAge: Milliseconds | undefined;
}

/** Warmth of one worker, and the number of permits granted for it. */
export interface PermitGrant {
  readonly worker: string;
  readonly life: WorkerIncarnation;
  readonly warmth: Warmth;
  readonly permits: number;
}

export interface PermitAnswer {
  /** Fencing token of the granter, rising with each new one; `undefined` from any other node. */
  readonly term: Revision | undefined;
  readonly grants: readonly PermitGrant[];
}

/** The answer of a node that does not grant permits. */
export const NOT_GRANTER: PermitAnswer = { term: undefined, grants: [] };
