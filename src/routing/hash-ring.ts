/**
 * A consistent-hashing ring over a list of candidates (Karger et al., 1997), built once per list
 * and searched by bisection.
 */
import { placementHash } from '../core/hashing.js';
import type { WorkerCandidate } from './worker-candidate.js';

/** Points each worker has on the ring; more points spread keys more evenly. */
const POINTS_PER_WORKER = 32;

/** Positions of candidates on the hash circle. */
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

  /** Number of points on the ring. */
  get size(): number {
    return this.#positions.length;
  }

  /** The first point at or after the key's hash, going round at the end. */
  pointOf(key: string): number {
    const target = placementHash(key);
    let low = 0;
    let high = this.size;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#positions[middle] ?? 0) < target) low = middle + 1;
      else high = middle;
    }
    return low === this.size ? 0 : low;
  }

  /** Index of the candidate that owns a point; points count on round the ring. */
  ownerOf(point: number): number {
    return this.#owners[point % this.size] ?? 0;
  }
}

/** Keeps one ring per candidate list for as long as the list lives. */
export class HashRingCache {
  readonly #rings = new WeakMap<readonly WorkerCandidate[], HashRing>();

  /** The ring of a list; built on first use. */
  ringOf(candidates: readonly WorkerCandidate[]): HashRing {
    const known = this.#rings.get(candidates);
    if (known !== undefined) return known;
    const ring = new HashRing(candidates);
    this.#rings.set(candidates, ring);
    return ring;
  }
}
