/**
 * The end of a soak, drawn from its seed: trouble with the store that lasts until all power is lost at
 * once, disks of one zone that don't come back, and the order in which everything starts again.
 */
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { ZONES } from './gateway-group.js';
import type { ReplicaRestart } from './journal-group.js';
import { drawFrom, type StoreEffect, type StruckGroup } from './store-faults.js';

/** What the store does to a group of gateways until the power is lost. */
interface FinalEffect {
  readonly effect: StoreEffect;
  readonly struck: StruckGroup;
}

/** The trouble before the loss, each with the same share of the seeds. */
const FINAL_TROUBLE: readonly (readonly FinalEffect[])[] = [
  [],
  [{ effect: 'silent', struck: 'all' }],
  [{ effect: 'silent', struck: 'zone' }],
  [{ effect: 'unavailable', struck: 'zone' }],
  [{ effect: 'throttled', struck: 'half' }],
  [{ effect: 'commits-late', struck: 'all' }],
  [
    { effect: 'commits-late', struck: 'all' },
    { effect: 'unavailable', struck: 'zone' },
  ],
  [
    { effect: 'commits-late', struck: 'all' },
    { effect: 'silent', struck: 'half' },
  ],
];

/** Bounds of the time for which the trouble lasts. */
export const SHORTEST_TROUBLE: Milliseconds = 3_000;
export const LONGEST_TROUBLE: Milliseconds = 7_000;

/** Bounds of the time after which a process starts again, and of that for a late replica. */
const LONGEST_RESTART: Milliseconds = 800;
const SHORTEST_LATE_RESTART: Milliseconds = 1_500;
export const LONGEST_LATE_RESTART: Milliseconds = 4_500;
const LATE_REPLICA_SHARE = 0.35;

/** What is planned. */
export interface PlannedPowerLoss {
  readonly trouble: readonly FinalEffect[];
  /** How long the trouble lasts before the loss. */
  readonly duration: Milliseconds;
  /** Picks the zone and the gateways of the trouble. */
  readonly target: number;
  readonly replicas: ReplicaRestart;
  /** Time after which each gateway starts again. */
  readonly gatewayDelays: readonly Milliseconds[];
}

/** Draws the end; the same seed and sizes give the same one. */
export function planPowerLoss(
  seed: number,
  gateways: number,
  replicasAZone: number,
): PlannedPowerLoss {
  const random = createRandomSource(seed);
  const between = (least: Milliseconds, most: Milliseconds): Milliseconds =>
    Math.round(least + random.fraction() * (most - least));
  const trouble = drawFrom(FINAL_TROUBLE, random);
  const duration = between(SHORTEST_TROUBLE, LONGEST_TROUBLE);
  const target = random.integer(1_000);
  const zone = drawFrom(ZONES, random);
  const diskOrder = shuffled(replicasAZone, random);
  const replicas = replicasAZone * ZONES.length;
  const delays = Array.from({ length: replicas }, () =>
    random.fraction() < LATE_REPLICA_SHARE
      ? between(SHORTEST_LATE_RESTART, LONGEST_LATE_RESTART)
      : between(0, LONGEST_RESTART),
  );
  const gatewayDelays = Array.from({ length: gateways }, () => between(0, LONGEST_RESTART));
  return { trouble, duration, target, replicas: { zone, diskOrder, delays }, gatewayDelays };
}

function shuffled(count: number, random: RandomSource): number[] {
  const left = Array.from({ length: count }, (_, index) => index);
  return Array.from({ length: count }, () => left.splice(random.integer(left.length), 1)[0] ?? 0);
}
