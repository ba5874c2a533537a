/** Timeouts that the sender and the receiver of a request share. */
import type { Milliseconds } from '../core/units.js';

/** Time to cancel a job: a commit of the store, repeated once. */
export const CANCELLATION_TIMEOUT: Milliseconds = 600;
