/** Hashes for placement (MurmurHash3) and for content (SHA-256), and rendezvous hashing. */
import { createHash } from 'node:crypto';
import murmurhash from 'murmurhash';

/** MurmurHash3 of a text: an integer in `[0, 2^32)`. */
export function placementHash(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

/** SHA-256 of a text, in lower-case hexadecimal. */
export function contentDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** The candidate with the highest rendezvous score for the key; `undefined` for an empty list. */
export function rendezvousFirst<Item>(
  key: string,
  candidates: readonly Item[],
  nameOf: (item: Item) => string,
): Item | undefined {
  return rendezvousOrder(key, candidates, nameOf)[0];
}

/**
 * Candidates ordered by rendezvous score for the key, highest first. When a candidate is removed,
 * only its keys move (Thaler and Ravishankar, 1998).
 */
export function rendezvousOrder<Item>(
  key: string,
  candidates: readonly Item[],
  nameOf: (item: Item) => string,
): Item[] {
  const scored = candidates.map((item) => {
    const name = nameOf(item);
    return { item, name, score: placementHash(`${key}\u0000${name}`) };
  });
  scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
  return scored.map((entry) => entry.item);
}
