/** Slots and queue of one worker in the admission control of its home. */
import type { AccountName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { AdmissionLimits } from './admission-limits.js';
import { type Dispatch, DispatchSet } from './dispatch-set.js';
import { maxMinShares } from './fair-share.js';
import { ServiceRate } from './service-rate.js';
import type { OutstandingCounts } from './worker-candidate.js';

export interface WorkerSlotsOptions {
  readonly worker: WorkerRecord;
  /** Limit of running generations. */
  readonly runningLimit: number;
  /** Limit of queued generations for each traffic class. */
  readonly queueLimit: number;
  readonly limits: AdmissionLimits;
}

/** Outcome of an admission; see `AdmissionResult`. */
export type SlotResult =
  | { readonly kind: 'admitted'; readonly preempt: string | null }
  | { readonly kind: 'queued' }
  | { readonly kind: 'refused'; readonly retryAfter: Milliseconds };

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

  /** Whether no dispatch is running or queued. */
  get isIdle(): boolean {
    return this.#running.size === 0 && this.#queued.size === 0;
  }

  /** Applies new limits; running dispatches are not affected. */
  updateLimits(limits: AdmissionLimits): void {
    this.#limits = limits;
  }

  /** Admits, queues or refuses a new dispatch. */
  admit(dispatch: Dispatch): SlotResult {
    if (dispatch.trafficClass === 'interactive') return this.#admitInteractive(dispatch);
    return this.#admitTraining(dispatch);
  }

  /** Removes a dispatch and returns the identifiers of the queued ones that start now. */
  release(dispatchId: string, now: Milliseconds): readonly string[] {
    const finished = this.#running.remove(dispatchId);
    if (finished === undefined) this.#queued.remove(dispatchId);
    else this.#rate.observe(now - finished.startedAt);
    return this.#startQueued(now);
  }

  /** State of a dispatch; `absent` for an unknown one. */
  stateOf(dispatchId: string): 'running' | 'queued' | 'absent' {
    if (this.#running.get(dispatchId) !== undefined) return 'running';
    return this.#queued.get(dispatchId) === undefined ? 'absent' : 'queued';
  }

  /** Outstanding dispatches, and the further training dispatches that would be accepted. */
  counts(): OutstandingCounts {
    const outstandingTraining = this.#running.training + this.#queued.training;
    const freeTraining = this.#trainingLimit + this.#queueLimit - outstandingTraining;
    const outstanding = this.#running.size + this.#queued.size;
    const free = this.#runningLimit + this.#queueLimit - outstanding;
    return {
      outstanding,
      interactiveOutstanding: this.#running.interactive + this.#queued.interactive,
      queueFree: Math.max(0, Math.min(freeTraining, free)),
    };
  }

  /** Identifiers of all dispatches, running ones first. */
  dispatchIds(): readonly string[] {
    return [...this.#running.ids(), ...this.#queued.ids()];
  }

  /** Slots available to training; at least one, as interactive work can preempt it. */
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

  /** Fair shares apply to queueing only: without a queue, a free slot is used at once. */
  #admitTraining(dispatch: Dispatch): SlotResult {
    if (this.#queued.training === 0 && this.#hasTrainingSlot) return this.#start(dispatch, null);
    if (this.#exceedsShare(dispatch.account)) return this.#refuse(this.#queued.training);
    const hasQueueSlot = this.#queued.training < this.#queueLimit;
    const isFirstOfAccount = this.#queued.trainingOf(dispatch.account) === 0;
    if (hasQueueSlot || isFirstOfAccount) return this.#enqueue(dispatch);
    return this.#refuse(this.#queued.training);
  }

  /** Whether one more dispatch exceeds the max-min share of an account of training slots and queue. */
  #exceedsShare(account: AccountName): boolean {
    const slots = this.#trainingLimit + this.#queueLimit;
    const requested = this.#outstandingTrainingOf(account) + 1;
    const names = new Set([
      account,
      ...this.#running.trainingByAccount.keys(),
      ...this.#queued.trainingByAccount.keys(),
    ]);
    const demands = [...names].map((name) => ({
      account: name,
      demand: name === account ? requested : this.#outstandingTrainingOf(name),
      weight: this.#weightOf(name),
    }));
    const share = maxMinShares(slots, demands).get(account) ?? 0;
    return requested > Math.ceil(share);
  }

  #outstandingTrainingOf(account: AccountName): number {
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

  /** The first queued dispatch of the account with the fewest running dispatches per weight. */
  #fairestQueued(): Dispatch | undefined {
    let fairest: Dispatch | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    for (const dispatch of this.#queued.values()) {
      const running = this.#running.trainingOf(dispatch.account);
      const runningPerWeight = running / this.#weightOf(dispatch.account);
      if (runningPerWeight >= lowest) continue;
      lowest = runningPerWeight;
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
    return { kind: 'refused', retryAfter: this.#rate.estimateWait(ahead, this.#running.size) };
  }
}
