/** Filters candidate lists by model and zones, and caches the result for each list. */
import type { ModelName, ZoneName } from '../core/identity.js';
import type { WorkerCandidate } from './worker-candidate.js';

interface AllowedEntry {
  readonly model: ModelName;
  readonly zones: readonly ZoneName[];
  readonly indices: Int32Array;
}

/** Whether a worker runs the model inside the zones. */
export function isAllowed(
  candidate: WorkerCandidate,
  model: ModelName,
  zones: readonly ZoneName[],
): boolean {
  return candidate.record.model === model && zones.includes(candidate.record.zone);
}

/** Caches the last result for each candidate list; a list never changes its members. */
export class AllowedCandidates {
  readonly #entries = new WeakMap<readonly WorkerCandidate[], AllowedEntry>();

  /** Indices of the candidates that run the model inside the zones. */
  indicesOf(
    candidates: readonly WorkerCandidate[],
    model: ModelName,
    zones: readonly ZoneName[],
  ): Int32Array {
    const cached = this.#entries.get(candidates);
    if (cached !== undefined && cached.model === model && areSameZones(cached.zones, zones)) {
      return cached.indices;
    }
    const indices: number[] = [];
    candidates.forEach((candidate, index) => {
      if (isAllowed(candidate, model, zones)) indices.push(index);
    });
    const entry = { model, zones: [...zones], indices: Int32Array.from(indices) };
    this.#entries.set(candidates, entry);
    return entry.indices;
  }
}

function areSameZones(left: readonly ZoneName[], right: readonly ZoneName[]): boolean {
  if (left.length !== right.length) return false;
  for (let at = 0; at < left.length; at += 1) if (left[at] !== right[at]) return false;
  return true;
}
