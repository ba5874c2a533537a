/** The faults of one soak, drawn from a seed: what happens, to whom, when and for how long. */

import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';

/** Kinds of faults. All come from outside the processes. */
export const FAULT_KINDS = [
  'gateway-killed',
  'gateway-paused',
  'gateway-stopped',
  'gateway-without-store',
  'gateway-hears-no-store',
  'gateway-store-slow',
  'gateway-store-reset',
  'gateway-store-links-silent',
  'gateway-turned-away',
  'gateway-throttled',
  'gateway-keys-revoked',
  'gateway-replaced',
  'all-gateways-killed',
  'store-refusing',
  'store-silent',
  'store-forgets',
  'store-leases-lapse',
  'store-answers-lost',
  'store-writes-late',
  'worker-crashed',
  'worker-silent',
  'worker-slow',
  'worker-reset',
  'worker-links-silent',
  'all-links-silent',
  'worker-leaves',
  'configuration-changed',
  'configurations-in-series',
  'signals-in-series',
] as const;

/** One kind. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Milliseconds since the soak began. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  /** Picks the gateway or worker; taken modulo their number. */
  readonly target: number;
}

/** Quiet time at the beginning, for the fleet to form, and at the end, for what is read again. */
export const QUIET_START: Milliseconds = 4_000;
export const QUIET_END: Milliseconds = 6_000;

const SHORTEST_PAUSE: Milliseconds = 300;
const LONGEST_PAUSE: Milliseconds = 2_500;
const SHORTEST_FAULT: Milliseconds = 300;
const LONGEST_FAULT: Milliseconds = 5_000;

/** Draws the faults; the same seed and length give the same ones. */
export function planFaults(seed: number, length: Milliseconds): PlannedFault[] {
  const random = createRandomSource(seed);
  const faults: PlannedFault[] = [];
  let at = QUIET_START;
  while (at < length - QUIET_END) {
    const kind = FAULT_KINDS[random.integer(FAULT_KINDS.length)] ?? 'gateway-killed';
    const duration = between(random, SHORTEST_FAULT, LONGEST_FAULT);
    faults.push({ kind, at, duration, target: random.integer(1_000) });
    at += between(random, SHORTEST_PAUSE, LONGEST_PAUSE);
  }
  return faults;
}

function between(random: RandomSource, least: Milliseconds, most: Milliseconds): Milliseconds {
  return Math.round(least + random.fraction() * (most - least));
}
