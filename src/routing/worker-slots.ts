/** Slots and queue of one worker, as its home counts them. */
import type { AccountName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { AdmissionLimits } from './admission-limits.js';
import { type Dispatch, DispatchSet } from './dispatch-set.js';
import { maxMinShares } from './fair-share.js';
import { ServiceRate } from './service-rate.js';
import type { OutstandingCounts } from './worker-candidate.js';

/** Bounds of one worker. */
export interface WorkerSlotsOptions {
  readonly worker: WorkerRecord;
  /** Generations running at once. */
  readonly runningLimit: number;
  /** Queue places for each traffic class. */
  readonly queueLimit: number;
  readonly limits: AdmissionLimits;
}

/** The answer of one worker's slots. */
export type SlotResult =
  | { readonly kind: 'admitted'; readonly preempt: string | null }
  | { readonly kind: 'queued' }
  | { readonly kind: 'refused'; readonly retryAfter: Milliseconds };

/** Counts, bounds and queues of one worker. */
export class WorkerSlots {
  readonly worker: WorkerRecord;
  readonly #runningLimit: number;
  readonly #queueLimit: number;
  readonly #running = new DispatchSet();
  readonly #queued = new DispatchSet();
  readonly #rate = new ServiceRate();
  #limits: AdmissionLimits;

  constructor(options: WorkerSlotsOptions) {
    this.worker = options.worker;
    this.#runningLimit = options.runningLimit;
    this.#queueLimit = options.queueLimit;
    this.#limits = options.limits;
  }

  /** Whether nothing runs or waits. */
  get isIdle(): boolean {
    return this.#running.size === 0 && this.#queued.size === 0;
  }

  /** Takes over new limits; what runs already is left alone. */
  updateLimits(limits: AdmissionLimits): void {
    this.#limits = limits;
  }

  /** Decides on a dispatch that is not held yet. */
  admit(dispatch: Dispatch): SlotResult {
    if (dispatch.trafficClass === 'interactive') return this.#admitInteractive(dispatch);
    return this.#admitTraining(dispatch);
  }

  /** Ends a dispatch and names the queued ones that start now. */
  release(dispatchId: string, now: Milliseconds): readonly string[] {
    const finished = this.#running.remove(dispatchId);
    if (finished === undefined) this.#queued.remove(dispatchId);
    else this.#rate.observe(now - finished.startedAt);
    return this.#startQueued(now);
  }

  /** Whether a dispatch is running, waiting or not held. */
  stateOf(dispatchId: string): 'running' | 'queued' | 'absent' {
    if (this.#running.get(dispatchId) !== undefined) return 'running';
    return this.#queued.get(dispatchId) === undefined ? 'absent' : 'queued';
  }

  /** What is outstanding, and how much more training work would be taken. */
  counts(): OutstandingCounts {
    const trainingHeld = this.#running.training + this.#queued.training;
    const trainingRoom = this.#trainingLimit + this.#queueLimit - trainingHeld;
    const held = this.#running.size + this.#queued.size;
    const room = this.#runningLimit + this.#queueLimit - held;
    return {
      outstanding: held,
      interactiveOutstanding: this.#running.interactive + this.#queued.interactive,
      queueFree: Math.max(0, Math.min(trainingRoom, room)),
    };
  }

  /** Ids of all dispatches held, running ones first. */
  dispatchIds(): readonly string[] {
    return [...this.#running.ids(), ...this.#queued.ids()];
  }

  /** Slots training may take; at least one, as interactive work can preempt it. */
  get #trainingLimit(): number {
    const reserved = this.#limits.reservedShares.get(this.worker.model) ?? 0;
    return Math.max(1, Math.floor(this.#runningLimit * (1 - reserved)));
  }

  get #hasTrainingSlot(): boolean {
    const hasSlot = this.#running.size < this.#runningLimit;
    return hasSlot && this.#running.training < this.#trainingLimit;
  }

  #admitInteractive(dispatch: Dispatch): SlotResult {
    if (this.#running.size < this.#runningLimit) return this.#start(dispatch, null);
    const youngest = this.#running.youngestTraining();
    if (youngest !== undefined) {
      this.#running.remove(youngest.dispatchId);
      return this.#start(dispatch, youngest.dispatchId);
    }
    if (this.#queued.interactive < this.#queueLimit) return this.#enqueue(dispatch);
    return this.#refuse(this.#queued.interactive);
  }

  /** A free slot is never left empty; the shares rule the queue, and the queue rules the slots. */
  #admitTraining(dispatch: Dispatch): SlotResult {
    if (this.#queued.training === 0 && this.#hasTrainingSlot) return this.#start(dispatch, null);
    if (this.#isOverShare(dispatch.account)) return this.#refuse(this.#queued.training);
    const hasPlace = this.#queued.training < this.#queueLimit;
    const ownPlaceIsFree = this.#queued.trainingOf(dispatch.account) === 0;
    if (hasPlace || ownPlaceIsFree) return this.#enqueue(dispatch);
    return this.#refuse(this.#queued.training);
  }

  /** Whether one more would take an account over its max-min share of the training places. */
  #isOverShare(account: AccountName): boolean {
    const places = this.#trainingLimit + this.#queueLimit;
    const wanted = this.#heldBy(account) + 1;
    const names = new Set([
      account,
      ...this.#running.trainingByAccount.keys(),
      ...this.#queued.trainingByAccount.keys(),
    ]);
    const demands = [...names].map((name) => ({
      account: name,
      demand: name === account ? wanted : this.#heldBy(name),
      weight: this.#weightOf(name),
    }));
    const share = maxMinShares(places, demands).get(account) ?? 0;
    return wanted > Math.ceil(share);
  }

  #heldBy(account: AccountName): number {
    return this.#running.trainingOf(account) + this.#queued.trainingOf(account);
  }

  #weightOf(account: AccountName): number {
    return this.#limits.accountWeights.get(account) ?? 1;
  }

  #startQueued(now: Milliseconds): readonly string[] {
    const started: string[] = [];
    for (let next = this.#nextQueued(); next !== undefined; next = this.#nextQueued()) {
      this.#queued.remove(next.dispatchId);
      this.#running.add({ ...next, startedAt: now });
      started.push(next.dispatchId);
    }
    return started;
  }

  #nextQueued(): Dispatch | undefined {
    if (this.#running.size >= this.#runningLimit) return undefined;
    const interactive = this.#queued.firstInteractive();
    if (interactive !== undefined) return interactive;
    return this.#hasTrainingSlot ? this.#fairestQueued() : undefined;
  }

  /** The first dispatch of the account with the fewest running for its weight. */
  #fairestQueued(): Dispatch | undefined {
    let fairest: Dispatch | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    for (const dispatch of this.#queued.values()) {
      const running = this.#running.trainingOf(dispatch.account);
      const level = running / this.#weightOf(dispatch.account);
      if (level >= lowest) continue;
      lowest = level;
      fairest = dispatch;
    }
    return fairest;
  }

  #start(dispatch: Dispatch, preempt: string | null): SlotResult {
    this.#running.add(dispatch);
    return { kind: 'admitted', preempt };
  }

  #enqueue(dispatch: Dispatch): SlotResult {
    this.#queued.add(dispatch);
    return { kind: 'queued' };
  }

  #refuse(ahead: number): SlotResult {
    return { kind: 'refused', retryAfter: this.#rate.waitFor(ahead, this.#running.size) };
  }
}
