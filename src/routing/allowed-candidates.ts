/**
 * Which candidates of a list run a request's model in the zones it may use. It is worked out once
 * per list, as neither changes while a list lives.
 */
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

/** Remembers the last answer for each candidate list. */
export class AllowedCandidates {
  readonly #entries = new WeakMap<readonly WorkerCandidate[], AllowedEntry>();

  /** Indices of the allowed candidates. */
  indicesOf(
    candidates: readonly WorkerCandidate[],
    model: ModelName,
    zones: readonly ZoneName[],
  ): Int32Array {
    const known = this.#entries.get(candidates);
    if (known !== undefined && known.model === model && isSameZones(known.zones, zones)) {
      return known.indices;
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

function isSameZones(left: readonly ZoneName[], right: readonly ZoneName[]): boolean {
  if (left.length !== right.length) return false;
  for (let at = 0; at < left.length; at += 1) if (left[at] !== right[at]) return false;
  return true;
}
