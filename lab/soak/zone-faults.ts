/**
 * Faults of whole zones and of their machines with disks, drawn from a seed beside the other faults,
 * whose schedule stays what it was.
 */
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { QUIET_END, QUIET_START } from './fault-schedule.js';

/** Kinds of faults. */
export const ZONE_FAULT_KINDS = ['zone-without-store', 'replica-killed', 'replica-wiped'] as const;

/** One fault. */
export interface ZoneFault {
  readonly kind: (typeof ZONE_FAULT_KINDS)[number];
  /** Milliseconds since the soak began. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  /** Picks the zone or replica; taken modulo their number. */
  readonly target: number;
}

/**
 * Pauses between two of them. A disk that is lost holds nothing that the store lacks by the time of
 * the next loss, so that no more than two of a zone are ever gone together.
 */
const SHORTEST_PAUSE: Milliseconds = 6_000;
const LONGEST_PAUSE: Milliseconds = 10_000;
const SHORTEST_FAULT: Milliseconds = 1_500;
const LONGEST_FAULT: Milliseconds = 5_000;

/** Draws the faults; the same seed and length give the same ones. */
export function planZoneFaults(seed: number, length: Milliseconds): ZoneFault[] {
  const random = createRandomSource(seed);
  const between = (least: Milliseconds, most: Milliseconds): Milliseconds =>
    Math.round(least + random.fraction() * (most - least));
  const faults: ZoneFault[] = [];
  let at = QUIET_START + between(0, SHORTEST_PAUSE);
  while (at < length - QUIET_END) {
    const kind = ZONE_FAULT_KINDS[random.integer(ZONE_FAULT_KINDS.length)] ?? 'zone-without-store';
    const duration = between(SHORTEST_FAULT, LONGEST_FAULT);
    faults.push({ kind, at, duration, target: random.integer(1_000) });
    at += between(SHORTEST_PAUSE, LONGEST_PAUSE);
  }
  return faults;
}
