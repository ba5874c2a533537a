/** Retries reads of the store until it answers. */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { Read } from './job-store.js';

/** Delay before a retry, here and by the caller, after the store did not answer. */
export const STORE_RETRY_AFTER: Milliseconds = 300;

/** Repeats a read until the store answers; `undefined` if the record is absent. */
export async function untilAvailable<Value>(
  clock: Clock,
  read: () => Promise<Read<Value>>,
): Promise<Value | undefined> {
  for (;;) {
    const outcome = await read();
    if (outcome.kind === 'found') return outcome.value;
    if (outcome.kind === 'absent') return undefined;
    await clock.sleep(STORE_RETRY_AFTER);
  }
}
