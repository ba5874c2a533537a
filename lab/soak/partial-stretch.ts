/**
 * A stretch of a soak without faults of the whole store or of all gateways, which would excuse each
 * gateway: parts of some gateways' calls fail in it, while single gateways and workers are struck.
 */
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { FaultKind, PlannedFault } from './fault-schedule.js';
import { type PartialFault, planPartialFaults } from './partial-faults.js';
import { drawFrom } from './store-faults.js';

/** Faults of one gateway or worker. */
export const SINGLE_KINDS: readonly FaultKind[] = [
  'gateway-killed',
  'gateway-paused',
  'gateway-stopped',
  'gateway-replaced',
  'signals-in-series',
  'worker-crashed',
  'worker-silent',
  'worker-leaves',
];

/** Time until the first fault, so that no gateway has an excuse left; and time up to the last one. */
export const STRETCH_BEGIN: Milliseconds = 3_500;
export const STRETCH_END: Milliseconds = 27_000;

const SHORTEST_PAUSE: Milliseconds = 3_000;
const LONGEST_PAUSE: Milliseconds = 7_000;
const SHORTEST_FAULT: Milliseconds = 300;
const LONGEST_FAULT: Milliseconds = 3_000;

/** What is planned. */
export interface PlannedStretch {
  readonly partial: readonly PartialFault[];
  readonly single: readonly PlannedFault[];
}

/** Draws the stretch that begins at a time; the same seed gives the same one. */
export function planStretch(seed: number, begin: Milliseconds): PlannedStretch {
  const random = createRandomSource(seed);
  const between = (least: Milliseconds, most: Milliseconds): Milliseconds =>
    Math.round(least + random.fraction() * (most - least));
  const single: PlannedFault[] = [];
  for (let at = STRETCH_BEGIN; at < STRETCH_END; at += between(SHORTEST_PAUSE, LONGEST_PAUSE)) {
    const kind = drawFrom(SINGLE_KINDS, random);
    const duration = between(SHORTEST_FAULT, LONGEST_FAULT);
    single.push({ kind, at: begin + at, duration, target: random.integer(1_000) });
  }
  const partial = planPartialFaults(random.integer(1_000_000), STRETCH_BEGIN, STRETCH_END);
  return { single, partial: partial.map((fault) => ({ ...fault, at: begin + fault.at })) };
}
