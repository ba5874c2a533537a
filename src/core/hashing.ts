/**
 * Hashes: a fast one for placement (MurmurHash3) and a collision-resistant one for content.
 */
import { createHash } from 'node:crypto';
import murmurhash from 'murmurhash';

/** Placement hash of a text: a whole number in `[0, 2^32)`. */
export function placementHash(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

/** SHA-256 of a text, in hexadecimal. */
export function contentDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** The candidate with the highest rendezvous score for the key, or `undefined` of none. */
export function rendezvousFirst<Item>(
  key: string,
  candidates: readonly Item[],
  nameOf: (item: Item) => string,
): Item | undefined {
  return rendezvousOrder(key, candidates, nameOf)[0];
}

/**
 * Candidates ordered by rendezvous (highest random weight) score for the key. When a candidate
 * leaves, only the keys it held move (Thaler and Ravishankar, 1998).
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
