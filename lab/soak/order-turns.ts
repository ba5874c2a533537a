/** Checks the time between orders of two coordinators at one worker. */
import type { Milliseconds } from '../../src/core/units.js';

/** Shortest time between the last order of one coordinator and the first of the next. */
export const TRANSFER_DELAY: Milliseconds = 3_000;

interface LastOrder {
  readonly holder: string;
  readonly at: Milliseconds;
}

/** Remembers the last order that came to each worker. */
export class OrderTurns {
  private readonly lastOrders = new Map<string, LastOrder>();

  constructor(private readonly now: () => Milliseconds) {}

  /** Notes an order; returns what was wrong if another node gave one too shortly before. */
  note(worker: string, holder: string): string | undefined {
    const before = this.lastOrders.get(worker);
    const at = this.now();
    this.lastOrders.set(worker, { holder, at });
    if (before === undefined || before.holder === holder) return undefined;
    const gap = Math.round(at - before.at);
    if (gap >= TRANSFER_DELAY) return undefined;
    return `${worker} got an order of ${holder} ${gap} ms after one of ${before.holder}`;
  }
}
