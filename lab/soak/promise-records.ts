/** What the checks of the promises are told, and what they say. */
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';

/** A promise that was broken. */
export interface Violation {
  readonly promise:
    | 'complete-answer'
    | 'sample-text'
    | 'sample-versions'
    | 'sample-score'
    | 'positions'
    | 'job-kept'
    | 'item-left-out'
    | 'refusal-true'
    | 'tenant-told'
    | 'key-revoked'
    | 'configuration-in-force'
    | 'stale-rejection'
    | 'fencing'
    | 'coordinator-turns'
    | 'ended-job'
    | 'query-of-death'
    | 'leaving-worker'
    | 'cold-worker'
    | 'evacuated-zone'
    | 'residency'
    | 'unasked-request'
    | 'process-bounds';
  readonly detail: string;
  /** Milliseconds since the soak began. */
  readonly at: Milliseconds;
}

/** One listed result as a trainer read it. */
export interface ReadResult {
  readonly id: string;
  readonly state: string;
  readonly text: string;
  readonly versions: readonly WeightVersion[];
  readonly score?: string | undefined;
}

/** What a trainer handed in. */
export interface SubmittedJob {
  readonly id: string;
  readonly minVersion: WeightVersion;
  /** Events that a whole sample has, by item. */
  readonly events: ReadonlyMap<string, number>;
  /** The id of its score request, by item; items without one need no score. */
  readonly scoreRequests?: ReadonlyMap<string, string>;
}

/** A job that was accepted, and how much of it was read. */
export interface KnownJobReads {
  readonly id: string;
  /** The tenant under whose key it was handed in. */
  readonly tenant: string;
  readonly total: number;
  readonly read: number;
}
