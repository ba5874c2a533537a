/** Seeded random numbers, passed to decision modules so that runs are reproducible. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { placementHash } from './hashing.js';
import type { Milliseconds } from './units.js';

/** Resolution of {@link RandomSource.fraction}. */
const FRACTION_STEPS = 0x7fffffff;

/** A source of random numbers with an explicit seed. */
export interface RandomSource {
  /** An integer in `[0, limit)`; `limit` is at least 1. */
  integer(limit: number): number;
  /** A number in `[0, 1)`. */
  fraction(): number;
  /** A hexadecimal identifier of 16 characters. */
  identifier(): string;
}

/**
 * Creates a source from an integer seed. The seed is hashed, since the first numbers of the generator
 * are similar for small seeds.
 */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(placementHash(String(seed)) | 0);
  const word = (): string => (generator.next() >>> 0).toString(16).padStart(8, '0');
  return {
    integer: (limit) => uniformInt(generator, 0, limit - 1),
    fraction: () => uniformInt(generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS,
    identifier: () => word() + word(),
  };
}

/**
 * A duration drawn uniformly from `[1 - spread, 1 + spread)` times its length, to desynchronize nodes
 * that start together. The spread is in `[0, 1]`.
 */
export function jittered(random: RandomSource, length: Milliseconds, spread: number): Milliseconds {
  return length * (1 - spread + 2 * spread * random.fraction());
}
