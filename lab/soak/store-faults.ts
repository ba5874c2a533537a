/**
 * Faults of the store towards groups of gateways, drawn from a seed beside the other faults: commits
 * carried out late and without an answer, and gateways that are turned away while others are served.
 */
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { QUIET_END, QUIET_START } from './fault-schedule.js';

/** What the store does to the gateways that are struck. */
export type StoreEffect = 'commits-late' | 'unavailable' | 'throttled' | 'silent';

/** Which gateways are struck; `job-owner` is the one that runs the jobs of a zone. */
export type StruckGroup = 'all' | 'zone' | 'zone-but-one' | 'half' | 'job-owner';

/** One fault. */
export interface StoreFault {
  readonly effect: StoreEffect;
  readonly struck: StruckGroup;
  /** Milliseconds since the soak began. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  /** Picks the zone and the gateways; taken modulo their number. */
  readonly target: number;
}

/** Share of the commits that are late while such a fault lasts. */
export const LATE_SHARE = 0.7;

/** What sets a kind of faults apart: bounds of their duration and pauses, and what may be drawn. */
interface FaultBounds {
  readonly shortest: Milliseconds;
  readonly longest: Milliseconds;
  readonly shortestPause: Milliseconds;
  readonly longestPause: Milliseconds;
  readonly effects: readonly StoreEffect[];
  readonly groups: readonly StruckGroup[];
}

/** Bounds of {@link planLateCommits}. */
export const LATE_COMMIT_BOUNDS: FaultBounds = {
  shortest: 1_000,
  longest: 6_000,
  shortestPause: 1_500,
  longestPause: 5_000,
  effects: ['commits-late'],
  groups: ['all', 'all', 'half', 'zone', 'job-owner'],
};

/** Bounds of {@link planGatewaysTurnedAway}. */
export const TURNED_AWAY_BOUNDS: FaultBounds = {
  shortest: 3_000,
  longest: 10_000,
  shortestPause: 1_500,
  longestPause: 5_000,
  effects: ['unavailable', 'throttled', 'silent'],
  groups: ['zone-but-one', 'half', 'job-owner'],
};

/** Draws spans in which commits are late; the same seed and length give the same ones. */
export function planLateCommits(seed: number, length: Milliseconds): StoreFault[] {
  return plan(seed, length, LATE_COMMIT_BOUNDS);
}

/** Draws spans in which groups of gateways are turned away; the same seed and length give the same. */
export function planGatewaysTurnedAway(seed: number, length: Milliseconds): StoreFault[] {
  return plan(seed, length, TURNED_AWAY_BOUNDS);
}

function plan(seed: number, length: Milliseconds, bounds: FaultBounds): StoreFault[] {
  const random = createRandomSource(seed);
  const between = (least: Milliseconds, most: Milliseconds): Milliseconds =>
    Math.round(least + random.fraction() * (most - least));
  const faults: StoreFault[] = [];
  let at = QUIET_START + between(0, bounds.longestPause);
  for (;;) {
    const duration = between(bounds.shortest, bounds.longest);
    if (at + duration > length - QUIET_END) return faults;
    const effect = drawFrom(bounds.effects, random);
    const struck = drawFrom(bounds.groups, random);
    faults.push({ effect, struck, at, duration, target: random.integer(1_000) });
    at += duration + between(bounds.shortestPause, bounds.longestPause);
  }
}

/** Draws one of some values. */
export function drawFrom<Value>(values: readonly Value[], random: RandomSource): Value {
  const value = values[random.integer(values.length)];
  if (value === undefined) throw new Error('there is nothing to draw from');
  return value;
}
