/** An ordered set of dispatches with counts by traffic class and by trainer. */
import type { TrafficClass } from '../core/generation.js';
import type { AccountName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';

/** One dispatch, running or queued. */
export interface Dispatch {
  readonly dispatchId: string;
  readonly account: AccountName;
  readonly trafficClass: TrafficClass;
  /** Start of service, or arrival while it waits. */
  readonly startedAt: Milliseconds;
}

/** Dispatches in order of addition. */
export class DispatchSet {
  readonly #dispatches = new Map<string, Dispatch>();
  readonly #trainingByAccount = new Map<AccountName, number>();
  #interactive = 0;

  /** Number of all dispatches. */
  get size(): number {
    return this.#dispatches.size;
  }

  /** Number of interactive dispatches. */
  get interactive(): number {
    return this.#interactive;
  }

  /** Number of training dispatches. */
  get training(): number {
    return this.#dispatches.size - this.#interactive;
  }

  /** Training dispatches by account; accounts without any are absent. */
  get trainingByAccount(): ReadonlyMap<AccountName, number> {
    return this.#trainingByAccount;
  }

  /** Number of training dispatches of one account. */
  trainingOf(account: AccountName): number {
    return this.#trainingByAccount.get(account) ?? 0;
  }

  /** A dispatch of the set; `undefined` for another one. */
  get(dispatchId: string): Dispatch | undefined {
    return this.#dispatches.get(dispatchId);
  }

  /** Identifiers in the order of addition. */
  ids(): readonly string[] {
    return [...this.#dispatches.keys()];
  }

  /** Dispatches in the order of addition. */
  values(): IterableIterator<Dispatch> {
    return this.#dispatches.values();
  }

  /** Adds a dispatch that is not in the set yet. */
  add(dispatch: Dispatch): void {
    this.#dispatches.set(dispatch.dispatchId, dispatch);
    if (dispatch.trafficClass === 'interactive') {
      this.#interactive += 1;
      return;
    }
    this.#trainingByAccount.set(dispatch.account, this.trainingOf(dispatch.account) + 1);
  }

  /** Takes a dispatch out; `undefined` where it is not in the set. */
  remove(dispatchId: string): Dispatch | undefined {
    const dispatch = this.#dispatches.get(dispatchId);
    if (dispatch === undefined) return undefined;
    this.#dispatches.delete(dispatchId);
    if (dispatch.trafficClass === 'interactive') {
      this.#interactive -= 1;
      return dispatch;
    }
    const left = this.trainingOf(dispatch.account) - 1;
    if (left === 0) this.#trainingByAccount.delete(dispatch.account);
    else this.#trainingByAccount.set(dispatch.account, left);
    return dispatch;
  }

  /** The first interactive dispatch, if any. */
  firstInteractive(): Dispatch | undefined {
    if (this.#interactive === 0) return undefined;
    for (const dispatch of this.#dispatches.values()) {
      if (dispatch.trafficClass === 'interactive') return dispatch;
    }
    return undefined;
  }

  /** The training dispatch that started last, if any. */
  youngestTraining(): Dispatch | undefined {
    let youngest: Dispatch | undefined;
    for (const dispatch of this.#dispatches.values()) {
      if (dispatch.trafficClass !== 'training') continue;
      if (youngest === undefined || dispatch.startedAt >= youngest.startedAt) youngest = dispatch;
    }
    return youngest;
  }
}
