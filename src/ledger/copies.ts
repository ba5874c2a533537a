/**
 * Copies of lists that a replica hands out in pages. A copy is taken once, on its first page, and
 * then stays the same, so that its pages fit together.
 */
import { MINUTE, type Milliseconds } from '../core/units.js';

/** How long a copy is kept after one of its pages was asked for. */
const COPY_LIFETIME: Milliseconds = MINUTE;

interface Copy<Item> {
  readonly items: readonly Item[];
  expiresAt: Milliseconds;
}

/** One page of a list. */
export interface Page<Item> {
  readonly items: readonly Item[];
  readonly last: boolean;
}

/** Cuts one page out of a list. */
export function pageOf<Item>(items: readonly Item[], cursor: number, size: number): Page<Item> {
  const end = cursor + size;
  return { items: items.slice(cursor, end), last: end >= items.length };
}

/** Passing copies by the request they were made for. */
export class Copies<Item> {
  readonly #copies = new Map<string, Copy<Item>>();

  /** The copy of one request; `undefined` where it is not kept any more. */
  get(
    name: string,
    cursor: number,
    take: () => readonly Item[],
    now: Milliseconds,
  ): readonly Item[] | undefined {
    let copy = this.#copies.get(name);
    if (copy === undefined) {
      if (cursor > 0) return undefined;
      copy = { items: take(), expiresAt: 0 };
      this.#copies.set(name, copy);
    }
    copy.expiresAt = now + COPY_LIFETIME;
    return copy.items;
  }

  /** Drops copies nobody asked for lately. */
  expire(now: Milliseconds): void {
    for (const [name, copy] of this.#copies) {
      if (copy.expiresAt <= now) this.#copies.delete(name);
    }
  }
}
