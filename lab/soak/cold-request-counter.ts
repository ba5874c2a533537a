/** Counts what a cold worker is sent within any second, as the worker sees it. */
import { type Milliseconds, SECOND } from '../../src/core/units.js';

/** What a cold worker of the soak bears, as its service and the gateways' settings say. */
export const COLD = { seconds: 2, requestsPerSecond: 5, factor: 1.5, requests: 4 } as const;

/** Requests that may come within a second. */
const BOUND = COLD.requestsPerSecond * COLD.factor + COLD.requests;

/** Counts the requests of one life of a worker. */
export class ColdRequestCounter {
  private readonly coldUntil: Milliseconds;
  private cameAt: Milliseconds[] = [];

  constructor(private readonly now: () => Milliseconds) {
    this.coldUntil = now() + COLD.seconds * SECOND;
  }

  /** How much longer the worker is cold. */
  get remaining(): Milliseconds {
    return Math.max(0, Math.round(this.coldUntil - this.now()));
  }

  /** A request came; tells how many came within a second where that is too many. */
  noteRequest(): number | undefined {
    const now = this.now();
    if (now >= this.coldUntil) return undefined;
    this.cameAt = this.cameAt.filter((at) => now - at < SECOND);
    this.cameAt.push(now);
    return this.cameAt.length > BOUND ? this.cameAt.length : undefined;
  }
}
