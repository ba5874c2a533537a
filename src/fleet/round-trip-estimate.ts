/**
 * Estimates how fast the store answers this node, from calls that were answered: smoothed round-trip
 * time and retransmission timeout as in RFC 6298, section 2.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { SharedStore } from '../shared-store/shared-store.js';

const SMOOTHING_SHARE = 1 / 8;
const VARIATION_SHARE = 1 / 4;
const VARIATIONS_IN_TIMEOUT = 4;

export class RoundTripEstimate {
  private smoothed: Milliseconds | undefined;
  private variation: Milliseconds = 0;
  private last: Milliseconds = 0;

  /** Records the time of an answered call, without the time for which the store was asked to wait. */
  note(time: Milliseconds): void {
    this.last = time;
    if (this.smoothed === undefined) {
      this.smoothed = time;
      this.variation = time / 2;
      return;
    }
    const deviation = Math.abs(this.smoothed - time);
    this.variation += VARIATION_SHARE * (deviation - this.variation);
    this.smoothed += SMOOTHING_SHARE * (time - this.smoothed);
  }

  /** Time of the last answered call. */
  get latest(): Milliseconds {
    return this.last;
  }

  /** Time within which nearly all calls are answered. */
  get timeout(): Milliseconds {
    return (this.smoothed ?? 0) + VARIATIONS_IN_TIMEOUT * this.variation;
  }
}

/** Wraps a store: records the time of each watch without changes, each read and each renewal. */
export function timedStore(
  store: SharedStore,
  estimate: RoundTripEstimate,
  clock: Pick<Clock, 'now'>,
): SharedStore {
  const timed = async <Outcome extends { readonly kind: string }>(
    wait: Milliseconds,
    call: () => Promise<Outcome>,
    isSample: (outcome: Outcome) => boolean = ({ kind }) => kind !== 'failed',
  ): Promise<Outcome> => {
    const startedAt = clock.now();
    const outcome = await call();
    if (isSample(outcome)) estimate.note(Math.max(0, clock.now() - startedAt - wait));
    return outcome;
  };
  return {
    get: (key) => timed(0, () => store.get(key)),
    range: (...range) => timed(0, () => store.range(...range)),
    watch: (prefix, after, wait, signal) =>
      timed(
        wait,
        () => store.watch(prefix, after, wait, signal),
        (outcome) => outcome.kind === 'changes' && outcome.changes.length === 0 && !signal.aborted,
      ),
    commit: (commit) => store.commit(commit),
    grantLease: (ttl) => store.grantLease(ttl),
    renewLease: (lease) => timed(0, () => store.renewLease(lease)),
    revokeLease: (lease) => store.revokeLease(lease),
  };
}
