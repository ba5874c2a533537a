/**
 * Delays accepted work under which workers crashed. A request that a caller waits for is rejected
 * after as many crashes (see `RequestQuarantine`); accepted work is owed, so it is only delayed.
 */
import type { Milliseconds } from '../core/units.js';
import { MAX_CRASHED_WORKERS, type WorkerCrash } from '../serving/crash-evidence.js';

/**
 * Delay after the latest crash once {@link MAX_CRASHED_WORKERS} workers have crashed under a piece of
 * work. Work may be at no worker for at most 5 s; the delay leaves room for one run that fails to
 * start, until its connection timeout or until a silent worker is abandoned.
 */
export const CRASH_RETRY_DELAY: Milliseconds = 2_000;

/** Time until work may be sent again; 0 if it may be sent now. */
export function crashDelay(crashes: readonly WorkerCrash[], now: Milliseconds): Milliseconds {
  if (crashes.length < MAX_CRASHED_WORKERS) return 0;
  const latest = Math.max(...crashes.map(({ at }) => at));
  return Math.max(0, latest + CRASH_RETRY_DELAY - now);
}
