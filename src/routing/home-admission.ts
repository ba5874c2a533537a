/**
 * Admission control at a worker's home node: a generation starts, waits in a short queue, or is
 * refused at once. Interactive work preempts training; trainers share slots by weight.
 */
import type { GenerationRequest } from '../core/generation.js';
import type { WorkerId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { WorkerRecord } from '../platform/worker.js';
import { type AdmissionLimits, DEFAULT_LIMITS } from './admission-limits.js';
import type { Dispatch } from './dispatch-set.js';
import type { OutstandingCounts } from './worker-candidate.js';
import { WorkerSlots } from './worker-slots.js';

/** A dispatch to be admitted. */
export interface AdmissionRequest {
  readonly dispatchId: string;
  readonly request: GenerationRequest;
  readonly worker: WorkerRecord;
}

export type AdmissionResult =
  | {
      /** The caller starts it, after cancelling the training dispatch named by `preempt`. */
      readonly kind: 'admitted';
      readonly preempt: string | null;
    }
  /** It waits until `release` names it, or it was admitted before. */
  | { readonly kind: 'queued' }
  /** Nothing ran, and no state is stored for it. */
  | { readonly kind: 'refused'; readonly failure: Failure };

export interface HomeAdmissionOptions {
  /** Limit of running generations, as a multiple of the worker's slots; default 1. */
  readonly runningFactor?: number;
  /** Queue length as a multiple of the worker's slots, at least 1; default 0.25. */
  readonly queueFactor?: number;
  /** Whether a worker accepts no new work; default: never. */
  readonly isLeaving?: (worker: WorkerId) => boolean;
}

/** Short, as the retry goes to another worker. */
const LEAVING_RETRY_DELAY: Milliseconds = 100;

/** Limits the outstanding generations of the workers whose home is this node. */
export class HomeAdmission {
  readonly #runningFactor: number;
  readonly #queueFactor: number;
  readonly #isLeaving: (worker: WorkerId) => boolean;
  readonly #slotsByWorker = new Map<WorkerId, WorkerSlots>();
  readonly #slotsByDispatch = new Map<string, WorkerSlots>();
  #limits: AdmissionLimits = DEFAULT_LIMITS;

  constructor(options: HomeAdmissionOptions = {}) {
    this.#runningFactor = options.runningFactor ?? 1;
    this.#queueFactor = options.queueFactor ?? 0.25;
    this.#isLeaving = options.isLeaving ?? (() => false);
  }

  /** Applies new limits; running dispatches are not affected. */
  updateLimits(limits: AdmissionLimits): void {
    this.#limits = limits;
    for (const slots of this.#slotsByWorker.values()) slots.updateLimits(limits);
  }

  /** Decides whether a dispatch starts, waits or is refused. */
  admit(admission: AdmissionRequest, now: Milliseconds): AdmissionResult {
    const { dispatchId, request, worker } = admission;
    if (this.#slotsByDispatch.has(dispatchId)) return { kind: 'queued' };
    if (this.#isLeaving(worker.worker)) return refused(worker, 'is leaving', LEAVING_RETRY_DELAY);
    const slots = this.#slotsOf(worker);
    const dispatch: Dispatch = {
      dispatchId,
      account: request.account,
      trafficClass: request.trafficClass,
      startedAt: now,
    };
    const result = slots.admit(dispatch);
    if (result.kind === 'refused') {
      this.#removeIfIdle(slots);
      return refused(worker, 'is full', result.retryAfter);
    }
    this.#slotsByDispatch.set(dispatchId, slots);
    if (result.kind === 'queued') return result;
    if (result.preempt !== null) this.#slotsByDispatch.delete(result.preempt);
    return result;
  }

  /**
   * Removes a running or queued dispatch and returns the identifiers of the queued ones that start
   * now. An unknown dispatch, such as a preempted one, is ignored.
   */
  release(dispatchId: string, now: Milliseconds): readonly string[] {
    const slots = this.#slotsByDispatch.get(dispatchId);
    if (slots === undefined) return [];
    this.#slotsByDispatch.delete(dispatchId);
    const started = slots.release(dispatchId, now);
    this.#removeIfIdle(slots);
    return started;
  }

  /** State of a dispatch; `absent` for an unknown one. */
  stateOf(dispatchId: string): 'running' | 'queued' | 'absent' {
    return this.#slotsByDispatch.get(dispatchId)?.stateOf(dispatchId) ?? 'absent';
  }

  /** Outstanding work of a worker, for the directory to publish. */
  counts(worker: WorkerRecord): OutstandingCounts {
    const slots = this.#slotsByWorker.get(worker.worker);
    return (slots ?? this.#createSlots(worker)).counts();
  }

  /** Identifiers of the running and queued dispatches of a worker. */
  dispatchesOf(worker: WorkerId): readonly string[] {
    return this.#slotsByWorker.get(worker)?.dispatchIds() ?? [];
  }

  #slotsOf(worker: WorkerRecord): WorkerSlots {
    const existing = this.#slotsByWorker.get(worker.worker);
    if (existing !== undefined) return existing;
    const slots = this.#createSlots(worker);
    this.#slotsByWorker.set(worker.worker, slots);
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

  /** An idle worker is removed only when it is leaving, so that its service-time average is not lost. */
  #removeIfIdle(slots: WorkerSlots): void {
    if (slots.isIdle && this.#isLeaving(slots.worker.worker)) {
      this.#slotsByWorker.delete(slots.worker.worker);
    }
  }
}

function refused(worker: WorkerRecord, reason: string, retryAfter: Milliseconds): AdmissionResult {
  const detail = `worker ${worker.worker} ${reason}`;
  return { kind: 'refused', failure: failure('overloaded', detail, { retryAfter, ran: 'no' }) };
}
