/**
 * Starts a gateway whose steady clock stands still while its process is stopped by a signal, as on a
 * machine that is suspended. Nothing outside a process can change its clocks, so this stands in its
 * way to them: a gap in the turns of the event loop is taken out of what `performance.now()` tells.
 */
import type { Milliseconds } from '../../src/core/units.js';

/** Time between two marks of a process that runs. */
const MARK_INTERVAL: Milliseconds = 20;

/** A longer gap between two marks is a stop; turns of a busy gateway are shorter. */
const LEAST_STOP: Milliseconds = 250;

const realTime = performance.now.bind(performance);
let markedAt = realTime();
let withheld: Milliseconds = 0;

/** Steady time without the stops. */
function suspendableTime(): Milliseconds {
  const now = realTime();
  const gap = now - markedAt;
  if (gap >= LEAST_STOP) withheld += gap;
  markedAt = now;
  return now - withheld;
}

performance.now = suspendableTime;
setInterval(suspendableTime, MARK_INTERVAL).unref();
await import('../../platform/main.js');
