/**
 * Watches of the store whose answer is overdue. A watch on a stalled connection would end only with
 * the time limit of the call; until then, its node and all that follow it miss changes.
 */
import type { Milliseconds, Revision } from '../core/units.js';
import type { SharedStore, StoreWatchOutcome } from '../shared-store/shared-store.js';
import { hedgedRead } from './hedged-read.js';

/** Time after the wait of a watch at which its answer is overdue, as a share of the change bound. */
const OVERDUE_SHARE = 0.1;

/** Wait of a watch that only reads the changes so far. */
export const NO_WAIT: Milliseconds = 1;

export interface StoreWatch {
  readonly store: Pick<SharedStore, 'watch'>;
  readonly prefix: string;
  readonly after: Revision;
  readonly wait: Milliseconds;
  readonly signal: AbortSignal;
  /** Time within which a change must take effect. */
  readonly changeBound: Milliseconds;
}

/** Watches the store; if the answer is overdue, reads the changes so far by another call. */
export async function watchStore(watch: StoreWatch): Promise<StoreWatchOutcome> {
  const { store, prefix, after, wait, signal, changeBound } = watch;
  const abandoned = new AbortController();
  const anySignal = AbortSignal.any([signal, abandoned.signal]);
  const isUsable = ({ kind }: StoreWatchOutcome): boolean => kind !== 'failed';
  const read = await hedgedRead({
    first: store.watch(prefix, after, wait, anySignal),
    isFirstUsable: isUsable,
    delay: wait + OVERDUE_SHARE * changeBound,
    second: () => store.watch(prefix, after, NO_WAIT, signal),
    isSecondUsable: isUsable,
  });
  if (read.by === 'second') abandoned.abort();
  return read.outcome;
}
