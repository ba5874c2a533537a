/** An ordered set of dispatches with counts by traffic class and by account. */
import type { TrafficClass } from '../core/generation.js';
import type { AccountName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';

/** One running or queued dispatch. */
export interface Dispatch {
  readonly dispatchId: string;
  readonly account: AccountName;
  readonly trafficClass: TrafficClass;
  /** When it started; while it is queued, when it arrived. */
  readonly startedAt: Milliseconds;
}

/** Dispatches in order of insertion. */
export class DispatchSet {
  readonly #dispatches = new Map<string, Dispatch>();
  readonly #trainingByAccount = new Map<AccountName, number>();
  #interactive = 0;

  get size(): number {
    return this.#dispatches.size;
  }

  get interactive(): number {
    return this.#interactive;
  }

  get training(): number {
    return this.#dispatches.size - this.#interactive;
  }

  /** Number of training dispatches by account; accounts without any are absent. */
  get trainingByAccount(): ReadonlyMap<AccountName, number> {
    return this.#trainingByAccount;
  }

  trainingOf(account: AccountName): number {
    return this.#trainingByAccount.get(account) ?? 0;
  }

  get(dispatchId: string): Dispatch | undefined {
    return this.#dispatches.get(dispatchId);
  }

  /** Identifiers in order of insertion. */
  ids(): readonly string[] {
    return [...this.#dispatches.keys()];
  }

  /** Dispatches in order of insertion. */
  values(): IterableIterator<Dispatch> {
    return this.#dispatches.values();
  }

  /** Adds a dispatch; the set must not contain it yet. */
  add(dispatch: Dispatch): void {
    this.#dispatches.set(dispatch.dispatchId, dispatch);
    if (dispatch.trafficClass === 'interactive') {
      this.#interactive += 1;
      return;
    }
    this.#trainingByAccount.set(dispatch.account, this.trainingOf(dispatch.account) + 1);
  }

  /** Removes and returns a dispatch; `undefined` where the set does not contain it. */
  remove(dispatchId: string): Dispatch | undefined {
    const dispatch = this.#dispatches.get(dispatchId);
    if (dispatch === undefined) return undefined;
    this.#dispatches.delete(dispatchId);
    if (dispatch.trafficClass === 'interactive') {
      this.#interactive -= 1;
      return dispatch;
    }
    const remaining = this.trainingOf(dispatch.account) - 1;
    if (remaining === 0) this.#trainingByAccount.delete(dispatch.account);
    else this.#trainingByAccount.set(dispatch.account, remaining);
    return dispatch;
  }

  /** The interactive dispatch inserted first. */
  firstInteractive(): Dispatch | undefined {
    if (this.#interactive === 0) return undefined;
    for (const dispatch of this.#dispatches.values()) {
      if (dispatch.trafficClass === 'interactive') return dispatch;
    }
    return undefined;
  }

  /** The training dispatch that started last. */
  youngestTraining(): Dispatch | undefined {
    let youngest: Dispatch | undefined;
    for (const dispatch of this.#dispatches.values()) {
      if (dispatch.trafficClass !== 'training') continue;
      if (youngest === undefined || dispatch.startedAt >= youngest.startedAt) youngest = dispatch;
    }
    return youngest;
  }
}
