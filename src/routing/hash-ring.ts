/** A consistent-hashing ring over a list of candidates (Karger et al., 1997), with binary search. */
import { placementHash } from '../core/hashing.js';
import type { WorkerCandidate } from './worker-candidate.js';

/** Points of each worker on the ring; more points spread keys more evenly. */
const POINTS_PER_WORKER = 32;

export class HashRing {
  readonly #positions: Float64Array;
  readonly #owners: Int32Array;

  constructor(candidates: readonly WorkerCandidate[]) {
    const points = candidates.flatMap((candidate, owner) =>
      Array.from({ length: POINTS_PER_WORKER }, (_, point) => ({
        position: placementHash(candidate.record.worker, point + 1),
        owner,
      })),
    );
    points.sort((left, right) => left.position - right.position || left.owner - right.owner);
    this.#positions = Float64Array.from(points, (point) => point.position);
    this.#owners = Int32Array.from(points, (point) => point.owner);
  }

  /** Number of points. */
  get size(): number {
    return this.#positions.length;
  }

  /** Index of the first point at or after the key's hash; wraps round to 0. */
  pointOf(key: string): number {
    const hash = placementHash(key);
    let low = 0;
    let high = this.size;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#positions[middle] ?? 0) < hash) low = middle + 1;
      else high = middle;
    }
    return low === this.size ? 0 : low;
  }

  /** Index of the candidate that owns a point; the point is taken modulo the size of the ring. */
  ownerOf(point: number): number {
    return this.#owners[point % this.size] ?? 0;
  }
}

/** Caches one ring for each candidate list, until the list is garbage-collected. */
export class HashRingCache {
  readonly #rings = new WeakMap<readonly WorkerCandidate[], HashRing>();

  /** The ring of a list, built on first use. */
  ringOf(candidates: readonly WorkerCandidate[]): HashRing {
    const cached = this.#rings.get(candidates);
    if (cached !== undefined) return cached;
    const ring = new HashRing(candidates);
    this.#rings.set(candidates, ring);
    return ring;
  }
}
