/**
 * Moves long samples to less loaded workers with their KV cache, as a token takes less time in a
 * smaller batch. Long samples are those that have proved long.
 */
import type { TableCandidate } from './candidate-table.js';
import type { Attempt } from './drawn-step.js';

/** Tokens from which a sample counts as long. */
const LONG_TOKENS = 200;

/** A move is made only to a worker that runs at least so many fewer samples. */
const LEAST_GAIN = 3;

/** One sample to be moved. */
export interface LongMove {
  readonly attempt: Attempt;
  readonly target: TableCandidate;
}

/**
 * Moves worth making now; moves to one target are counted.
 * @param slotLimit samples a worker may hold.
 */
export function movesOfLongSamples(
  attempts: Iterable<Attempt>,
  candidates: readonly TableCandidate[],
  slotLimit: (candidate: TableCandidate) => number,
): readonly LongMove[] {
  const long = [...attempts].filter((attempt) => attempt.tokens >= LONG_TOKENS);
  long.sort((left, right) => left.tokens - right.tokens);
  const load = new Map(candidates.map((candidate) => [candidate, candidate.outstanding]));
  const moves: LongMove[] = [];
  for (const attempt of long) {
    const target = leastLoaded(attempt, candidates, load, slotLimit);
    if (target === undefined) continue;
    const targetLoad = load.get(target) ?? 0;
    const sourceLoad = load.get(attempt.candidate) ?? 0;
    if (targetLoad + LEAST_GAIN > sourceLoad) continue;
    load.set(target, targetLoad + 1);
    load.set(attempt.candidate, sourceLoad - 1);
    moves.push({ attempt, target });
  }
  return moves;
}

function leastLoaded(
  attempt: Attempt,
  candidates: readonly TableCandidate[],
  load: ReadonlyMap<TableCandidate, number>,
  slotLimit: (candidate: TableCandidate) => number,
): TableCandidate | undefined {
  const loadOf = (candidate: TableCandidate): number => load.get(candidate) ?? 0;
  let best: TableCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.state !== 'in-service' || candidate === attempt.candidate) continue;
    if ((candidate.activeVersion ?? 0) < attempt.sample.step.oldestVersion) continue;
    if (loadOf(candidate) >= slotLimit(candidate)) continue;
    if (best === undefined || loadOf(candidate) < loadOf(best)) best = candidate;
  }
  return best;
}
