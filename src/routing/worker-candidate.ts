/** What routing knows of one worker, and the states a worker can be in. */
import type { NodeIdentity, WorkerId } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { WorkerRecord } from '../platform/worker.js';

/**
 * State of a worker as one node sees it:
 * - `connecting`: nothing recent is known of its load;
 * - `in-service`: takes new work;
 * - `ejected`: too many calls failed; takes no new work for a time;
 * - `leaving`: machine list, operator, engine or home say that it goes away;
 * - `unreachable`: does not answer its home.
 */
export type WorkerState = 'connecting' | 'in-service' | 'ejected' | 'leaving' | 'unreachable';

/**
 * One worker that may be chosen. The object is a live view owned by the directory: its fields
 * change as reports arrive, so that a list of candidates can be kept between decisions.
 */
export interface WorkerCandidate {
  readonly record: WorkerRecord;
  readonly home: NodeIdentity;
  readonly state: WorkerState;
  /** Generations running or queued on the worker, as its home counts them. */
  readonly outstanding: number;
  readonly interactiveOutstanding: number;
  /** Further training generations its home would take, as last heard. */
  readonly queueFree: number;
  /** Generations this node sent since the home's counts were last heard. */
  readonly sentSinceUpdate: number;
  /** Running and waiting generations in the engine's own report, which lags. */
  readonly reportedLoad: number;
  readonly slots: number;
  readonly activeVersion: WeightVersion | undefined;
  readonly loadedVersions: readonly WeightVersion[];
  /** When it last came back into service; `-Infinity` if it never was out of it. */
  readonly returnedAt: Milliseconds;
}

/** Counts kept by a home's admission for one worker. */
export interface OutstandingCounts {
  readonly outstanding: number;
  readonly interactiveOutstanding: number;
  readonly queueFree: number;
}

/** How one call to a worker ended; a refusal is no sign of ill health. */
export type CallOutcome = 'succeeded' | 'failed' | 'refused';

/** One change of a worker's state as a node sees it. */
export interface WorkerStateChange {
  readonly worker: WorkerId;
  readonly from: WorkerState;
  readonly to: WorkerState;
}

/** Time over which a returning worker's share of traffic rises to the whole. */
const SLOW_START_WINDOW: Milliseconds = 10_000;

/** Share of its slots a worker is given at the moment of its return. */
const SLOW_START_FLOOR = 0.1;

/** Generations on the worker as far as this node can tell. */
export function expectedOutstanding(candidate: WorkerCandidate): number {
  return candidate.outstanding + candidate.sentSinceUpdate;
}

/** Share of its slots a worker should be given, rising linearly after a return; in `(0, 1]`. */
export function slowStartShare(candidate: WorkerCandidate, now: Milliseconds): number {
  const elapsed = now - candidate.returnedAt;
  if (elapsed >= SLOW_START_WINDOW) return 1;
  return Math.max(SLOW_START_FLOOR, elapsed / SLOW_START_WINDOW);
}

/** Load relative to the slots the worker should be given; 1 is full. */
export function relativeLoad(candidate: WorkerCandidate, now: Milliseconds): number {
  return expectedOutstanding(candidate) / (candidate.slots * slowStartShare(candidate, now));
}
