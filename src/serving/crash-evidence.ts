/**
 * Records which workers crashed while they ran a request. A crash-inducing request (a query of
 * death) is retried by its caller, here or at another node, and is recognized by the number of
 * different workers that crashed under it. Other requests on these workers gather evidence too,
 * until their first answer clears it.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from './clock.js';
import type { RequestFingerprint } from './request-fingerprint.js';
import type { WorkerIncarnation } from './worker-incarnation.js';

/**
 * Crashes under one request at which it is quarantined. One or two may be coincidence, since a
 * sixth of a service's workers may crash at once and a broken request is sent to the next worker.
 */
export const MAX_CRASHED_WORKERS = 3;

/**
 * Time for which a crash counts against a request. It outlasts the retries of a caller; a request
 * quarantined by coincidence is served again afterwards.
 */
export const EVIDENCE_LIFETIME: Milliseconds = 600_000;

/**
 * Requests with stored evidence, beyond which the oldest is dropped: some 6.5 MB of the 200 MB that
 * a gateway may use.
 */
const MAX_SUSPECTS = 20_000;

/** The crash of one incarnation of a worker under one request. */
export interface WorkerCrash {
  readonly worker: WorkerIncarnation;
  /** By the steady clock. */
  readonly at: Milliseconds;
}

/** Crashes of workers by request. */
export class CrashEvidence {
  /** By request, then by worker; requests with the newest evidence last. */
  private readonly crashes = new Map<RequestFingerprint, Map<string, Milliseconds>>();

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Whether there is no evidence against any request. */
  get isEmpty(): boolean {
    return this.crashes.size === 0;
  }

  /**
   * Records a crash under a request; the first record of a worker counts. A time in the future, by the
   * clock of another machine, counts as now.
   */
  note(request: RequestFingerprint, { worker, at }: WorkerCrash): void {
    const crashes = this.of(request) ?? new Map<string, Milliseconds>();
    if (!crashes.has(worker)) crashes.set(worker, Math.min(at, this.clock.now()));
    this.crashes.delete(request);
    this.crashes.set(request, crashes);
    this.dropOldest();
  }

  /** Removes the crash of one worker from a request's evidence. */
  withdraw(request: RequestFingerprint, worker: string): void {
    const crashes = this.crashes.get(request);
    crashes?.delete(worker);
    if (crashes?.size === 0) this.crashes.delete(request);
  }

  /** Removes all evidence against a request. */
  clear(request: RequestFingerprint): void {
    this.crashes.delete(request);
  }

  /** The workers that crashed under a request, in the order in which they were recorded. */
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
