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

/** What sets a kind of faults apart: bounds of their duration, and what may be drawn. */
interface FaultBounds {
  readonly shortest: Milliseconds;
  readonly longest: Milliseconds;
  readonly effects: readonly StoreEffect[];
  readonly groups: readonly StruckGroup[];
}

/** Bounds of spans in which commits are late. */
export const LATE_COMMIT_BOUNDS: FaultBounds = {
  shortest: 1_000,
  longest: 6_000,
  effects: ['commits-late'],
  groups: ['all', 'all', 'all', 'half', 'zone', 'job-owner'],
};

/** Bounds of spans in which gateways are turned away. */
export const TURNED_AWAY_BOUNDS: FaultBounds = {
  shortest: 3_000,
  longest: 10_000,
  effects: ['unavailable', 'throttled', 'silent'],
  groups: ['zone-but-one', 'half', 'job-owner'],
};

/** Kinds of faults that come together; the time between them leaves gateways without an excuse. */
const EPISODES: readonly (readonly FaultBounds[])[] = [
  [LATE_COMMIT_BOUNDS],
  [TURNED_AWAY_BOUNDS],
  [LATE_COMMIT_BOUNDS, TURNED_AWAY_BOUNDS],
  [TURNED_AWAY_BOUNDS, LATE_COMMIT_BOUNDS],
];

/** Time between the faults of one episode, and between two episodes. */
const LONGEST_OFFSET: Milliseconds = 2_000;
export const SHORTEST_PAUSE: Milliseconds = 3_000;
const LONGEST_PAUSE: Milliseconds = 6_000;

/** Draws the faults, in order; the same seed and length give the same ones. */
export function planStoreFaults(seed: number, length: Milliseconds): StoreFault[] {
  const random = createRandomSource(seed);
  const between = (least: Milliseconds, most: Milliseconds): Milliseconds =>
    Math.round(least + random.fraction() * (most - least));
  const faults: StoreFault[] = [];
  let begin = QUIET_START + between(0, SHORTEST_PAUSE);
  for (;;) {
    const episode = drawFrom(EPISODES, random).map((bounds, index): StoreFault => {
      const at = begin + (index === 0 ? 0 : between(0, LONGEST_OFFSET));
      const duration = between(bounds.shortest, bounds.longest);
      const effect = drawFrom(bounds.effects, random);
      const struck = drawFrom(bounds.groups, random);
      return { effect, struck, at, duration, target: random.integer(1_000) };
    });
    const end = Math.max(...episode.map(({ at, duration }) => at + duration));
    if (end > length - QUIET_END) return faults;
    faults.push(...episode);
    begin = end + between(SHORTEST_PAUSE, LONGEST_PAUSE);
  }
}

/** Draws one of some values. */
export function drawFrom<Value>(values: readonly Value[], random: RandomSource): Value {
  const value = values[random.integer(values.length)];
  if (value === undefined) throw new Error('there is nothing to draw from');
  return value;
}
