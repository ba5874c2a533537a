/** Reading of the flags that a lab command was given. */
import type { CommandFlags } from '../main.js';

/** A number, or the fallback where the flag is absent; throws a `RangeError` where it is none. */
export function numberFlag(flags: CommandFlags, name: string, fallback: number): number {
  const value = flags[name];
  if (value === undefined) return fallback;
  const number = typeof value === 'boolean' || value === '' ? Number.NaN : Number(value);
  if (!Number.isFinite(number)) throw new RangeError(`--${name} is not a number`);
  return number;
}

/** A text; throws a `RangeError` where it is none. */
export function textFlag(flags: CommandFlags, name: string): string | undefined {
  const value = flags[name];
  if (value === undefined) return undefined;
  if (typeof value !== 'string' || value === '') throw new RangeError(`--${name} lacks its value`);
  return value;
}

/** The sizes of fleets to measure: the standard ones, or the one of the flag `--size`. */
export function sizesFlag(flags: CommandFlags, standard: readonly number[]): readonly number[] {
  return flags.size === undefined ? standard : [numberFlag(flags, 'size', 0)];
}
