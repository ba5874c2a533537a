/**
 * What a home remembers of its dispatches: all of those in progress, the outcome of those that
 * ended until their origins have it, and then the bare id, so that a late repetition is not run.
 */
import type { GenerationRequest } from '../core/generation.js';
import type { NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { MINUTE } from '../core/units.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { DispatchOutcome } from './messages.js';
import type { PartialAnswer } from './partial-answer.js';

/** One dispatch at its home. */
export interface HomeDispatch {
  readonly dispatchId: string;
  readonly origin: NodeIdentity;
  readonly stream: boolean;
  readonly request: GenerationRequest | null;
  readonly worker: WorkerRecord | null;
  state: 'queued' | 'running' | 'ended';
  outcome: DispatchOutcome | null;
  /** What the engine has reported of a training answer; `null` for other work and once ended. */
  answer: PartialAnswer | null;
  changedAt: Milliseconds;
  lastSent: Milliseconds;
}

/** How long an ended dispatch is remembered. */
const MEMORY_OF_ENDED: Milliseconds = 5 * MINUTE;
/** How often what is old is forgotten. */
const SWEEP_INTERVAL: Milliseconds = MINUTE;
const ID_GENERATIONS = MEMORY_OF_ENDED / SWEEP_INTERVAL + 1;

/** Dispatches of one home. */
export class DispatchMemory {
  private readonly active = new Map<string, HomeDispatch>();
  /** Ended dispatches whose outcome may be asked for again, the oldest first. */
  private readonly ended = new Map<string, HomeDispatch>();
  /** Ids whose origins have the outcome, by age; the newest first. */
  private settledIds: Set<string>[] = [new Set()];
  private nextSweep = Number.NEGATIVE_INFINITY;

  /** Number of dispatches queued or running. */
  get activeCount(): number {
    return this.active.size;
  }

  /** Number of ended dispatches whose outcome is kept. */
  get outcomeCount(): number {
    return this.ended.size;
  }

  /** A dispatch whose state is kept. */
  get(dispatchId: string): HomeDispatch | undefined {
    return this.active.get(dispatchId) ?? this.ended.get(dispatchId);
  }

  /** Whether a dispatch ended and its origin has the outcome. */
  isSettled(dispatchId: string): boolean {
    return this.settledIds.some((ids) => ids.has(dispatchId));
  }

  /** Dispatches queued or running, as a copy that allows changes meanwhile. */
  activeDispatches(): readonly HomeDispatch[] {
    return [...this.active.values()];
  }

  /** Keeps a dispatch in the place its state calls for; call it again when it has ended. */
  keep(dispatch: HomeDispatch): void {
    const { dispatchId } = dispatch;
    this.active.delete(dispatchId);
    this.ended.delete(dispatchId);
    const place = dispatch.state === 'ended' ? this.ended : this.active;
    place.set(dispatchId, dispatch);
  }

  /** The origin has the outcome: only the id is kept, and that only if it may come again. */
  settle(dispatchId: string, mayComeAgain: boolean): void {
    if (!this.ended.delete(dispatchId)) return;
    if (mayComeAgain) this.settledIds[0]?.add(dispatchId);
  }

  /** Forgets what ended long ago. */
  sweep(now: Milliseconds): void {
    if (now < this.nextSweep) return;
    this.nextSweep = now + SWEEP_INTERVAL;
    this.settledIds = [new Set<string>(), ...this.settledIds].slice(0, ID_GENERATIONS);
    for (const { dispatchId, changedAt } of this.ended.values()) {
      if (now - changedAt <= MEMORY_OF_ENDED) return;
      this.ended.delete(dispatchId);
    }
  }
}
