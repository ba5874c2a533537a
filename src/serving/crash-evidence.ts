/**
 * Which workers ended while a request was there. One that ends each worker that runs it (a query of
 * death) comes again as its caller sees a failure, here or at another node; it is known by the
 * number of different workers that ended under it. Others that were at these workers gather
 * evidence too, and lose it with their first answer.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from './clock.js';
import type { RequestFingerprint } from './request-fingerprint.js';
import type { WorkerIncarnation } from './worker-incarnation.js';

/**
 * Workers that may end under one request. One or two may be chance: a sixth of a service's workers
 * may crash at once, and a request that breaks is sent to the next.
 */
export const MAX_CRASHED_WORKERS = 3;

/**
 * Time for which the end of a worker speaks against a request. Callers came again for 13 s where this
 * was seen, one try each 2 s; a request that was refused without reason is served again after it.
 */
export const EVIDENCE_LIFETIME: Milliseconds = 600_000;

/**
 * Requests of which evidence is kept; beyond it the oldest is dropped. With one
 * worker each they take 323 bytes (heap of 20,000), all of them 6.5 MB of the 200 MB that a gateway may use.
 */
const MOST_SUSPECTS = 20_000;

/** The end of one life of a worker under one request. */
export interface WorkerEnd {
  readonly worker: WorkerIncarnation;
  /** Steady time. */
  readonly at: Milliseconds;
}

/** Keeps the ends of workers by request. */
export class CrashEvidence {
  /** By request, then by worker; the requests with the newest evidence last. */
  private readonly ends = new Map<RequestFingerprint, Map<string, Milliseconds>>();

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Whether nothing speaks against any request. */
  get isEmpty(): boolean {
    return this.ends.size === 0;
  }

  /** A worker ended while the request was there; told again, that changes nothing. */
  note(request: RequestFingerprint, { worker, at }: WorkerEnd): void {
    const ends = this.of(request) ?? new Map<string, Milliseconds>();
    if (!ends.has(worker)) ends.set(worker, at);
    this.ends.delete(request);
    this.ends.set(request, ends);
    this.dropOldest();
  }

  /** A worker did not end, or does not speak against the request any more. */
  withdraw(request: RequestFingerprint, worker: string): void {
    const ends = this.ends.get(request);
    ends?.delete(worker);
    if (ends?.size === 0) this.ends.delete(request);
  }

  /** Forgets all that speaks against a request. */
  clear(request: RequestFingerprint): void {
    this.ends.delete(request);
  }

  /** The workers that ended under a request, in the order of their ends. */
  endedUnder(request: RequestFingerprint): readonly WorkerEnd[] {
    const ends = this.of(request);
    return ends === undefined ? [] : [...ends].map(([worker, at]) => ({ worker, at }));
  }

  private of(request: RequestFingerprint): Map<string, Milliseconds> | undefined {
    const ends = this.ends.get(request);
    if (ends === undefined) return undefined;
    const oldest = this.clock.now() - EVIDENCE_LIFETIME;
    for (const [worker, at] of ends) if (at < oldest) ends.delete(worker);
    if (ends.size > 0) return ends;
    this.ends.delete(request);
    return undefined;
  }

  private dropOldest(): void {
    for (const request of this.ends.keys()) {
      if (this.ends.size <= MOST_SUSPECTS) return;
      this.ends.delete(request);
    }
  }
}
