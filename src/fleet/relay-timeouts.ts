/** Time limits of a round of requests to relays, from the change bound. */
import type { Milliseconds } from '../core/units.js';
import type { AgeLimits } from './prefix-freshness.js';
import type { RelaysTimeouts } from './relay-requests.js';

/** Time for a list at the first relay, as a share of the change bound. */
const LIST_SHARE = 0.15;

/** Time for each relay after the first was silent, as a share of the change bound. */
const NEXT_RELAY_SHARE = 0.075;

/** Number of relays that are requested after the first was silent. */
const NEXT_RELAYS = 3;

/**
 * Time for one relay to send a whole prefix, which is about 1 MB for 3,000 workers and takes 0.25 s
 * on a link of 42 Mbit/s.
 */
const LIST_TIMEOUT: Milliseconds = 600;

/** Limits for a watch that waits for a time at a node whose data has an age. */
export function watchTimeouts(
  limits: AgeLimits,
  changeBound: Milliseconds,
  { wait, age }: { readonly wait: Milliseconds; readonly age: Milliseconds },
): RelaysTimeouts {
  const nextTimeout = NEXT_RELAY_SHARE * changeBound;
  return timeouts(Math.max(wait + nextTimeout, limits.search - age), nextTimeout);
}

/** Limits for a list; a node that has received the prefix before does not wait long for it. */
export function listTimeouts(changeBound: Milliseconds, wasReceived: boolean): RelaysTimeouts {
  if (!wasReceived) return timeouts(LIST_TIMEOUT, LIST_TIMEOUT, 1);
  return timeouts(LIST_SHARE * changeBound, NEXT_RELAY_SHARE * changeBound);
}

function timeouts(
  firstTimeout: Milliseconds,
  nextTimeout: Milliseconds,
  nextRelays = NEXT_RELAYS,
): RelaysTimeouts {
  return { firstTimeout, nextTimeout, timeout: firstTimeout + nextRelays * nextTimeout };
}
