/** Faults of clients that don't behave, drawn from a seed: what a crowd sends, to which gateway, for how long. */
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';

export const CROWD_KINDS = [
  'whole-bodies',
  'bodies-in-pieces',
  'large-chunks',
  'tiny-chunks',
  'endless-heads',
  'requests-ahead',
  'unread-answers',
  'silent-connections',
] as const;

export type CrowdKind = (typeof CROWD_KINDS)[number];

/** One crowd. */
export interface CrowdFault {
  readonly kind: CrowdKind;
  /** Milliseconds since the soak began. */
  readonly at: Milliseconds;
  /** Time for which its connections stay open, unless the gateway closes them. */
  readonly duration: Milliseconds;
  /** Connections. */
  readonly clients: number;
  /** Picks the gateway; taken modulo their number. */
  readonly target: number;
}

const SHORTEST_PAUSE: Milliseconds = 1_500;
const LONGEST_PAUSE: Milliseconds = 8_000;
const SHORTEST_STAY: Milliseconds = 500;
const LONGEST_STAY: Milliseconds = 6_000;
const FEWEST_CLIENTS = 8;
const MOST_CLIENTS = 40;

/** Draws crowds for a span of time; the same seed and span give the same ones. */
export function planCrowds(seed: number, from: Milliseconds, to: Milliseconds): CrowdFault[] {
  const random = createRandomSource(seed);
  const faults: CrowdFault[] = [];
  let at = from;
  while (at < to) {
    const kind = CROWD_KINDS[random.integer(CROWD_KINDS.length)] ?? 'whole-bodies';
    const duration = SHORTEST_STAY + random.integer(LONGEST_STAY - SHORTEST_STAY);
    const clients = FEWEST_CLIENTS + random.integer(MOST_CLIENTS - FEWEST_CLIENTS);
    faults.push({ kind, at, duration, clients, target: random.integer(1_000) });
    at += SHORTEST_PAUSE + random.integer(LONGEST_PAUSE - SHORTEST_PAUSE);
  }
  return faults;
}
