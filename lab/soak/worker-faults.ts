/**
 * Faults of workers that come beside the other faults, drawn from a seed: several crash at once, again
 * and again; odd entries are written among theirs; one sends bytes without end.
 */
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';

export const WORKER_EFFECTS = ['crash-together', 'odd-entry', 'endless-bytes'] as const;

export type WorkerEffect = (typeof WORKER_EFFECTS)[number];

/** One fault. */
export interface WorkerFault {
  readonly effect: WorkerEffect;
  /** Milliseconds since the soak began. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  /** Share of the workers that crash. */
  readonly share: number;
  /** Picks the worker, the odd entry and the shape of the bytes; taken modulo their number. */
  readonly target: number;
}

/** Time between the begins of two faults. */
const SHORTEST_PAUSE: Milliseconds = 1_000;
const LONGEST_PAUSE: Milliseconds = 6_000;
const SHORTEST_FAULT: Milliseconds = 500;
const LONGEST_FAULT: Milliseconds = 3_000;

/** Duration of a burst, and time between two of its faults; a crash comes at each. */
export const BURST_TIME: Milliseconds = 5_000;
const BURST_PAUSE: Milliseconds = 500;

const LEAST_SHARE = 0.2;

/** Draws faults for a span of time; the same seed and span give the same ones. */
export function planWorkerFaults(
  seed: number,
  from: Milliseconds,
  to: Milliseconds,
): WorkerFault[] {
  const random = createRandomSource(seed);
  const faults: WorkerFault[] = [];
  for (
    let at = from;
    at < to;
    at += SHORTEST_PAUSE + random.integer(LONGEST_PAUSE - SHORTEST_PAUSE)
  ) {
    const effect = WORKER_EFFECTS[random.integer(WORKER_EFFECTS.length)] ?? 'crash-together';
    faults.push(drawFault(random, effect, at));
  }
  return faults;
}

/** Draws a burst: crashes in a quick series, with the other faults among them. */
export function planWorkerBurst(seed: number, from: Milliseconds): WorkerFault[] {
  const random = createRandomSource(seed);
  const faults: WorkerFault[] = [];
  for (let at = from; at < from + BURST_TIME; at += BURST_PAUSE) {
    faults.push(drawFault(random, 'crash-together', at));
    const other = random.integer(2) === 0 ? 'odd-entry' : 'endless-bytes';
    faults.push(drawFault(random, other, at));
  }
  return faults;
}

function drawFault(random: RandomSource, effect: WorkerEffect, at: Milliseconds): WorkerFault {
  const duration = SHORTEST_FAULT + random.integer(LONGEST_FAULT - SHORTEST_FAULT);
  const share = LEAST_SHARE + (1 - LEAST_SHARE) * random.fraction();
  return { effect, at, duration, share, target: random.integer(1_000) };
}
