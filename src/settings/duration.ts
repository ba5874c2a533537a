/** Durations in settings and flags: a decimal number and a unit, e.g. `500ms`, `6s`, `10m`. */
import { Maybe } from 'true-myth';
import type { Milliseconds } from '../core/units.js';

/** Milliseconds in each accepted unit. */
const UNIT_MILLISECONDS: Readonly<Record<string, Milliseconds>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/;

/** The format of {@link parseDuration}, for error messages. */
export const ACCEPTED_DURATIONS = 'a number with a unit ms, s, m or h, e.g. "500ms", "6s", "10m"';

/** Parses a duration; nothing for an invalid text. */
export function parseDuration(text: string): Maybe<Milliseconds> {
  const match = DURATION_PATTERN.exec(text);
  if (match === null) return Maybe.nothing();
  const factor = UNIT_MILLISECONDS[match[2] ?? ''] ?? 0;
  return Maybe.just(Math.round(Number(match[1]) * factor));
}

/** Formats a duration with the largest unit that gives an integer; inverse of {@link parseDuration}. */
export function formatDuration(duration: Milliseconds): string {
  const units = Object.entries(UNIT_MILLISECONDS).reverse();
  const largestUnit = units.find(([, factor]) => duration > 0 && duration % factor === 0);
  const [unit, factor] = largestUnit ?? ['ms', 1];
  return `${duration / factor}${unit}`;
}
