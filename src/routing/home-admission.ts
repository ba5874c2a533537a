/**
 * Admission at a worker's home: which generations start, wait in a short queue, or are refused at
 * once as not run. Interactive work has a reserve and preempts; trainers share by weight.
 */
import type { GenerationRequest } from '../core/generation.js';
import type { WorkerId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { WorkerRecord } from '../platform/worker.js';
import { type AdmissionLimits, NO_LIMITS } from './admission-limits.js';
import type { Dispatch } from './dispatch-set.js';
import type { OutstandingCounts } from './worker-candidate.js';
import { WorkerSlots } from './worker-slots.js';

/** One dispatch that asks to be started. */
export interface AdmissionRequest {
  readonly dispatchId: string;
  readonly request: GenerationRequest;
  readonly worker: WorkerRecord;
}

/** The answer to an admission request. */
export type AdmissionResult =
  | {
      /** Start it now; first cancel the training dispatch named by `preempt`, if any. */
      readonly kind: 'admitted';
      readonly preempt: string | null;
    }
  /** It waits, or was admitted before; `release` names it once it may start. */
  | { readonly kind: 'queued' }
  /** Nothing ran, and nothing is kept of it. */
  | { readonly kind: 'refused'; readonly failure: Failure };

/** Settings of the admission. */
export interface HomeAdmissionOptions {
  /** Generations running at once, as a multiple of the worker's slots; default 1. */
  readonly runningFactor?: number;
  /** Queue places as a multiple of the worker's slots, at least one place; default 0.25. */
  readonly queueFactor?: number;
  /** Whether a worker takes no new work; default: none is leaving. */
  readonly isLeaving?: (worker: WorkerId) => boolean;
}

/** When to come back where the worker is leaving: at once, by way of another worker. */
const LEAVING_RETRY: Milliseconds = 100;

/** Counts and bounds what is outstanding on the workers of one home. */
export class HomeAdmission {
  readonly #runningFactor: number;
  readonly #queueFactor: number;
  readonly #isLeaving: (worker: WorkerId) => boolean;
  readonly #workers = new Map<WorkerId, WorkerSlots>();
  readonly #workerOf = new Map<string, WorkerSlots>();
  #limits: AdmissionLimits = NO_LIMITS;

  constructor(options: HomeAdmissionOptions = {}) {
    this.#runningFactor = options.runningFactor ?? 1;
    this.#queueFactor = options.queueFactor ?? 0.25;
    this.#isLeaving = options.isLeaving ?? (() => false);
  }

  /** Takes over new limits; what runs already is left alone. */
  updateLimits(limits: AdmissionLimits): void {
    this.#limits = limits;
    for (const slots of this.#workers.values()) slots.updateLimits(limits);
  }

  /** Decides at once whether a dispatch starts, waits or is refused. */
  admit(admission: AdmissionRequest, now: Milliseconds): AdmissionResult {
    const { dispatchId, request, worker } = admission;
    if (this.#workerOf.has(dispatchId)) return { kind: 'queued' };
    if (this.#isLeaving(worker.worker)) return refused(worker, 'is leaving', LEAVING_RETRY);
    const slots = this.#slotsOf(worker);
    const dispatch: Dispatch = {
      dispatchId,
      account: request.account,
      trafficClass: request.trafficClass,
      startedAt: now,
    };
    const result = slots.admit(dispatch);
    if (result.kind === 'refused') {
      this.#forgetIfIdle(slots);
      return refused(worker, 'is full', result.retryAfter);
    }
    this.#workerOf.set(dispatchId, slots);
    if (result.kind === 'queued') return result;
    if (result.preempt !== null) this.#workerOf.delete(result.preempt);
    return result;
  }

  /**
   * Ends a dispatch, running or queued, and names the queued ones that start now. Releasing one
   * that is not held, such as a preempted one, does nothing.
   */
  release(dispatchId: string, now: Milliseconds): readonly string[] {
    const slots = this.#workerOf.get(dispatchId);
    if (slots === undefined) return [];
    this.#workerOf.delete(dispatchId);
    const started = slots.release(dispatchId, now);
    this.#forgetIfIdle(slots);
    return started;
  }

  /** Whether a dispatch is running, waiting or not held here. */
  stateOf(dispatchId: string): 'running' | 'queued' | 'absent' {
    return this.#workerOf.get(dispatchId)?.stateOf(dispatchId) ?? 'absent';
  }

  /** What is outstanding on a worker, to be published by the directory. */
  counts(worker: WorkerRecord): OutstandingCounts {
    const slots = this.#workers.get(worker.worker);
    return (slots ?? this.#createSlots(worker)).counts();
  }

  /** Ids of all dispatches held for a worker, queued ones included. */
  dispatchesOf(worker: WorkerId): readonly string[] {
    return this.#workers.get(worker)?.dispatchIds() ?? [];
  }

  #slotsOf(worker: WorkerRecord): WorkerSlots {
    const known = this.#workers.get(worker.worker);
    if (known !== undefined) return known;
    const slots = this.#createSlots(worker);
    this.#workers.set(worker.worker, slots);
    return slots;
  }

  #createSlots(worker: WorkerRecord): WorkerSlots {
    return new WorkerSlots({
      worker,
      runningLimit: Math.max(1, Math.floor(worker.slots * this.#runningFactor)),
      queueLimit: Math.max(1, Math.floor(worker.slots * this.#queueFactor)),
      limits: this.#limits,
    });
  }

  /** Workers without any work are kept while their observed service time is of use. */
  #forgetIfIdle(slots: WorkerSlots): void {
    if (slots.isIdle && this.#isLeaving(slots.worker.worker)) {
      this.#workers.delete(slots.worker.worker);
    }
  }
}

function refused(worker: WorkerRecord, reason: string, retryAfter: Milliseconds): AdmissionResult {
  const detail = `worker ${worker.worker} ${reason}`;
  return { kind: 'refused', failure: failure('overloaded', detail, { retryAfter, ran: 'no' }) };
}
