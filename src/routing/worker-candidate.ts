/** State and load of a worker as routing uses them. */
import type { NodeIdentity, WorkerId } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { WorkerRecord } from '../platform/worker.js';

/**
 * State of a worker at one node:
 * - `connecting`: its load is unknown or stale;
 * - `in-service`: accepts new work;
 * - `ejected`: too many calls failed; accepts no new work until the ejection expires;
 * - `leaving`: machine list, operator, engine or home report that it is being removed;
 * - `unreachable`: does not answer its home.
 */
export type WorkerState = 'connecting' | 'in-service' | 'ejected' | 'leaving' | 'unreachable';

/**
 * A worker that may be chosen. The directory owns the object and updates its fields as reports
 * arrive, so that a list of candidates stays valid between decisions.
 */
export interface WorkerCandidate {
  readonly record: WorkerRecord;
  readonly home: NodeIdentity;
  readonly state: WorkerState;
  /** Generations running or queued on the worker, as counted by its home. */
  readonly outstanding: number;
  readonly interactiveOutstanding: number;
  /** Further training generations that its home would accept, as last reported. */
  readonly queueFree: number;
  /** Generations that this node dispatched since the home last reported its counts. */
  readonly sentSinceUpdate: number;
  /** Running and waiting generations in the engine's own report, which lags. */
  readonly reportedLoad: number;
  readonly slots: number;
  readonly activeVersion: WeightVersion | undefined;
  readonly loadedVersions: readonly WeightVersion[];
  /** When it last returned to service; `-Infinity` where it never left it. */
  readonly returnedAt: Milliseconds;
}

/** Counts of one worker from the admission control of its home. */
export interface OutstandingCounts {
  readonly outstanding: number;
  readonly interactiveOutstanding: number;
  readonly queueFree: number;
}

/** Outcome of one call to a worker; a refusal does not affect its health. */
export type CallOutcome = 'succeeded' | 'failed' | 'refused';

/** A change of the state of a worker at one node. */
export interface WorkerStateChange {
  readonly worker: WorkerId;
  readonly from: WorkerState;
  readonly to: WorkerState;
}

/** Time in which the traffic share of a returning worker rises to 1. */
const SLOW_START_WINDOW: Milliseconds = 10_000;

/** Traffic share of a worker at the time of its return. */
const SLOW_START_FLOOR = 0.1;

/** Estimated number of generations on the worker. */
export function expectedOutstanding(candidate: WorkerCandidate): number {
  return candidate.outstanding + candidate.sentSinceUpdate;
}

/** Usable share of the slots of a worker, in `(0, 1]`; rises linearly after a return. */
export function slowStartShare(candidate: WorkerCandidate, now: Milliseconds): number {
  const elapsed = now - candidate.returnedAt;
  if (elapsed >= SLOW_START_WINDOW) return 1;
  return Math.max(SLOW_START_FLOOR, elapsed / SLOW_START_WINDOW);
}

/** Load relative to the usable slots; 1 is full. */
export function relativeLoad(candidate: WorkerCandidate, now: Milliseconds): number {
  return expectedOutstanding(candidate) / (candidate.slots * slowStartShare(candidate, now));
}
