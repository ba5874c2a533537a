/**
 * Seeded random numbers, passed into decision modules so that a run can be repeated.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { placementHash } from './hashing.js';
import type { Milliseconds } from './units.js';

/** Resolution of {@link RandomSource.fraction}. */
const FRACTION_STEPS = 0x7fffffff;

/** A source of random numbers with an explicit seed. */
export interface RandomSource {
  /** A whole number in `[0, limit)`; `limit` is at least 1. */
  integer(limit: number): number;
  /** A number in `[0, 1)`. */
  fraction(): number;
  /** A hexadecimal identifier of 16 characters. */
  identifier(): string;
}

/**
 * Creates a source from a seed (any whole number). The seed is hashed first, since the generator's
 * first numbers are nearly the same for small seeds.
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
 * A time drawn evenly from `[1 - spread, 1 + spread)` times its length, so that nodes which start
 * together do not go on in step. The spread lies in `[0, 1]`.
 */
export function jittered(random: RandomSource, length: Milliseconds, spread: number): Milliseconds {
  return length * (1 - spread + 2 * spread * random.fraction());
}
