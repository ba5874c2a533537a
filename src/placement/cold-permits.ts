/** What gateways ask about cold workers, and what the one that grants permits answers. */
import type { Milliseconds, Revision } from '../core/units.js';
import type { WorkerIncarnation } from '../serving/worker-incarnation.js';
import type { Warmth } from './worker-warmth.js';

/**
 * Time for which a permit may be used, from when its question was sent. Since it was granted later
 * than that, no permit is used longer than this after its grant, however late the answer comes.
 */
export const PERMIT_VALIDITY: Milliseconds = 250;

/** What a gateway wants to know of one worker, and how many requests it would send there. */
export interface PermitRequest {
  /** Id of the worker. */
  readonly worker: string;
  readonly life: WorkerIncarnation;
  readonly permits: number;
  /** Age of what made the asker doubt that the worker is warm; `undefined` where it only knows nothing. */
  readonly doubtAge: Milliseconds | undefined;
}

/** What is known of one worker, and how many requests may go there. */
export interface PermitGrant {
  readonly worker: string;
  readonly life: WorkerIncarnation;
  readonly warmth: Warmth;
  readonly permits: number;
}

/** The answer to wishes. */
export interface PermitAnswer {
  /** The granter's fencing token, higher with each granter; `undefined` where the node that was asked is none. */
  readonly term: Revision | undefined;
  readonly grants: readonly PermitGrant[];
}

/** The answer of a node that does not grant permits. */
export const NOT_GRANTER: PermitAnswer = { term: undefined, grants: [] };
