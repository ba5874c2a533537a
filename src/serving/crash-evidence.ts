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
const MAX_SUSPECTS = 20_000;

/** The end of one life of a worker under one request. */
export interface WorkerCrash {
  readonly worker: WorkerIncarnation;
  /** Steady time. */
  readonly at: Milliseconds;
}

/** Keeps the ends of workers by request. */
export class CrashEvidence {
  /** By request, then by worker; the requests with the newest evidence last. */
  private readonly crashes = new Map<RequestFingerprint, Map<string, Milliseconds>>();

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Whether nothing speaks against any request. */
  get isEmpty(): boolean {
    return this.crashes.size === 0;
  }

  /** A worker ended while the request was there; told again, that changes nothing. */
  note(request: RequestFingerprint, { worker, at }: WorkerCrash): void {
    const crashes = this.of(request) ?? new Map<string, Milliseconds>();
    if (!crashes.has(worker)) crashes.set(worker, at);
    this.crashes.delete(request);
    this.crashes.set(request, crashes);
    this.dropOldest();
  }

  /** A worker did not end, or does not speak against the request any more. */
  withdraw(request: RequestFingerprint, worker: string): void {
    const crashes = this.crashes.get(request);
    crashes?.delete(worker);
    if (crashes?.size === 0) this.crashes.delete(request);
  }

  /** Forgets all that speaks against a request. */
  clear(request: RequestFingerprint): void {
    this.crashes.delete(request);
  }

  /** The workers that ended under a request, in the order of their ends. */
  crashesUnder(request: RequestFingerprint): readonly WorkerCrash[] {
    const crashes = this.of(request);
    return crashes === undefined ? [] : [...crashes].map(([worker, at]) => ({ worker, at }));
  }

  private of(request: RequestFingerprint): Map<string, Milliseconds> | undefined {
    const crashes = this.crashes.get(request);
    if (crashes === undefined) return undefined;
    const oldest = this.clock.now() - EVIDENCE_LIFETIME;
    for (const [worker, at] of crashes) if (at < oldest) crashes.delete(worker);
    if (crashes.size > 0) return crashes;
    this.crashes.delete(request);
    return undefined;
  }

  private dropOldest(): void {
    for (const request of this.crashes.keys()) {
      if (this.crashes.size <= MAX_SUSPECTS) return;
      this.crashes.delete(request);
    }
  }
}
