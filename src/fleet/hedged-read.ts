/** Hedged reads: a second source is read if the first has not answered after a delay. */
import { firstValueFrom, from, map, race, timer } from 'rxjs';
import type { Milliseconds } from '../core/units.js';

export interface HedgedRead<First, Second> {
  readonly first: Promise<First>;
  readonly isFirstUsable: (outcome: First) => boolean;
  /** Time after which the second source is read, unless the first has answered. */
  readonly delay: Milliseconds;
  readonly second: () => Promise<Second>;
  readonly isSecondUsable: (outcome: Second) => boolean;
}

export type HedgedOutcome<First, Second> =
  | { readonly by: 'first'; readonly outcome: First }
  | { readonly by: 'second'; readonly outcome: Second };

/**
 * Resolves to the outcome of the first source, usable or not, if it arrives within the delay; else
 * to the first usable outcome, or to that of the second source if neither is usable.
 */
export async function hedgedRead<First, Second>(
  read: HedgedRead<First, Second>,
): Promise<HedgedOutcome<First, Second>> {
  const first = read.first.then((outcome) => ({ by: 'first', outcome }) as const);
  const isDue = timer(Math.max(0, read.delay)).pipe(map(() => undefined));
  const early = await firstValueFrom(race(from(first), isDue));
  if (early !== undefined) return early;
  const second = read.second().then((outcome) => ({ by: 'second', outcome }) as const);
  const usableFirst = first.then((answer) =>
    read.isFirstUsable(answer.outcome) ? answer : undefined,
  );
  const usableSecond = second.then((answer) =>
    read.isSecondUsable(answer.outcome) ? answer : undefined,
  );
  const winner = await Promise.race([usableFirst, usableSecond]);
  return winner ?? (await usableFirst) ?? (await second);
}
