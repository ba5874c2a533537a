/** Shows whether the store answers in time, before a node adds a whole list to its load. */
import type { Milliseconds, Revision } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { SharedStore } from '../shared-store/shared-store.js';
import { NO_WAIT } from './overdue-watches.js';

/** Time for the answer, as a share of the change bound. */
const PROBE_SHARE = 0.075;

export interface StoreProbe {
  readonly store: Pick<SharedStore, 'watch'>;
  readonly clock: Pick<Clock, 'sleep'>;
  readonly prefix: string;
  readonly after: Revision;
  readonly changeBound: Milliseconds;
}

/** Whether the store answers, or rejects, a watch that does not wait, so that a list is in time. */
export async function isStoreFast(probe: StoreProbe): Promise<boolean> {
  const { store, clock, prefix, after, changeBound } = probe;
  const abandoned = new AbortController();
  const watch = store.watch(prefix, after, NO_WAIT, abandoned.signal);
  const limit = clock.sleep(PROBE_SHARE * changeBound).then(() => undefined);
  const outcome = await Promise.race([watch, limit]);
  abandoned.abort();
  return outcome !== undefined;
}
