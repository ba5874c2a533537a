/**
 * Crashes and freezes of workers, drawn in advance from the seed, so that all variants of one run
 * meet the same faults at the same times.
 */
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { EventQueue } from '../simulation/event-queue.js';
import type { FaultSettings } from './deployment-settings.js';
import type { EngineHost } from './engine-host.js';

/** Schedules the faults of all hosts up to the end of a run. */
export function scheduleFaults(
  hosts: readonly EngineHost[],
  faults: FaultSettings,
  end: Milliseconds,
  queue: EventQueue,
  seed: number,
): void {
  const random = createRandomSource(seed);
  const { shortest, longest } = faults.freezeTime;
  for (const host of hosts) {
    for (const at of times(faults.timeBetweenCrashes, end, random)) {
      queue.after(at, () => host.crash(faults.restartTime));
    }
    for (const at of times(faults.timeBetweenFreezes, end, random)) {
      const duration = shortest + random.fraction() * (longest - shortest);
      queue.after(at, () => host.freeze(duration));
    }
  }
}

/** Times of a Poisson process. */
function times(meanPause: Milliseconds, end: Milliseconds, random: RandomSource): Milliseconds[] {
  const found: Milliseconds[] = [];
  let at = -Math.log(1 - random.fraction()) * meanPause;
  while (at < end) {
    found.push(at);
    at += -Math.log(1 - random.fraction()) * meanPause;
  }
  return found;
}
