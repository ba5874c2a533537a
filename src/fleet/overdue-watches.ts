/**
 * Watches of the store whose answer is overdue. A watch on a stalled connection would end only with
 * the time limit of the call; until then, its node and all that follow it miss changes.
 */
import type { Milliseconds, Revision } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type {
  SharedStore,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../shared-store/shared-store.js';
import { hedgedRead } from './hedged-read.js';
import type { RoundTripEstimate } from './round-trip-estimate.js';

/** Time after the wait of a watch at which its answer is overdue, as a share of the change bound. */
const OVERDUE_SHARE = 0.1;

/**
 * Time for the answer of the watch that follows an overdue one, as a share of the change bound. With
 * the wait, and the pause in which changes are collected, it leaves time for a list.
 */
const SECOND_ANSWER_SHARE = 0.075;

/** Wait of a watch that only reads the changes so far. */
export const NO_WAIT: Milliseconds = 1;

export interface StoreWatch {
  readonly store: Pick<SharedStore, 'watch' | 'range'>;
  readonly prefix: string;
  readonly after: Revision;
  readonly wait: Milliseconds;
  readonly signal: AbortSignal;
  /** Time within which a change must take effect. */
  readonly changeBound: Milliseconds;
  readonly roundTrips: Pick<RoundTripEstimate, 'timeout'>;
  readonly clock: Pick<Clock, 'now' | 'suspendedTime'>;
}

/** A list of the store that was read in place of a watch. */
export interface ListedAtStore {
  readonly outcome: StoreRangeOutcome;
  readonly sentAt: Milliseconds;
}

/** The outcome of a watch; `listed` is set where the prefix was listed in its place. */
export type OverdueWatchOutcome =
  | { readonly outcome: StoreWatchOutcome; readonly listed?: undefined }
  | { readonly outcome?: undefined; readonly listed: ListedAtStore };

/**
 * Watches the store. If the answer is overdue, the changes so far are read by another call; if that
 * is not answered either, though the store answers other calls in less time, the prefix is listed
 * beside them.
 */
export async function watchStore(watch: StoreWatch): Promise<OverdueWatchOutcome> {
  const { wait, signal, changeBound, roundTrips } = watch;
  const abandoned = new AbortController();
  const anySignal = AbortSignal.any([signal, abandoned.signal]);
  const answerShare = OVERDUE_SHARE + SECOND_ANSWER_SHARE;
  const read = await hedgedRead({
    first: watchTwice(watch, anySignal),
    isFirstUsable: isAnswered,
    delay: wait + Math.max(answerShare * changeBound, roundTrips.timeout),
    second: () => list(watch),
    isSecondUsable: ({ outcome }) => outcome.kind !== 'failed',
  });
  abandoned.abort();
  return read.by === 'first' ? { outcome: read.outcome } : { listed: read.outcome };
}

async function watchTwice(watch: StoreWatch, signal: AbortSignal): Promise<StoreWatchOutcome> {
  const { store, prefix, after, wait, changeBound } = watch;
  const { outcome } = await hedgedRead({
    first: store.watch(prefix, after, wait, signal),
    isFirstUsable: isAnswered,
    delay: wait + OVERDUE_SHARE * changeBound,
    second: () => store.watch(prefix, after, NO_WAIT, signal),
    isSecondUsable: isAnswered,
  });
  return outcome;
}

async function list({ store, prefix, clock }: StoreWatch): Promise<ListedAtStore> {
  const sentAt = suspendAwareTime(clock);
  return { outcome: await store.range(prefix), sentAt };
}

function isAnswered({ kind }: StoreWatchOutcome): boolean {
  return kind !== 'failed';
}
