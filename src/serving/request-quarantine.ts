/**
 * Quarantines crash-inducing requests. When a connection breaks under a request, the worker is
 * probed; if it crashed, that is evidence against the request, shared with all nodes. A request
 * under which {@link MAX_CRASHED_WORKERS} workers crashed is rejected until the evidence expires.
 * Evidence counts by request content and over the fleet, since callers retry at any node.
 */
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { Clock } from './clock.js';
import {
  CrashEvidence,
  EVIDENCE_LIFETIME,
  MAX_CRASHED_WORKERS,
  type WorkerCrash,
} from './crash-evidence.js';
import type { WorkerLiveness } from './engine-port.js';
import type { FingerprintedRequest, RequestFingerprint } from './request-fingerprint.js';
import type { WorkerRecord } from './traffic-configuration.js';
import { type WorkerIncarnation, workerIncarnationOf } from './worker-incarnation.js';

/**
 * Delay from a crash to its report to other nodes. Other workers answer most of the affected
 * requests meanwhile, as a lookup takes some 30 ms, and these need no report.
 */
const REPORT_DELAY: Milliseconds = 60;

/** Time for which the result of a probe that found no live worker is reused. */
const LIVENESS_CACHE_TIME: Milliseconds = 1_000;

/**
 * Delay from the cancellation of a request to the probe of its worker, in which the request may
 * crash it: a lookup takes some 30 ms, and one that crashes its worker does so while it runs.
 */
const CANCELLED_PROBE_DELAY: Milliseconds = 200;

/** Crashes at which a request that only this node sends is reported to the others. */
const SUSPICIOUS_CRASHES = 2;

/** The requests on one incarnation of a worker when it crashed. */
export interface CrashReport {
  readonly worker: WorkerIncarnation;
  readonly requests: readonly RequestFingerprint[];
}

/** Who may retry a request: its caller, at any node, or only the current node. */
export type NextSender = 'any-node' | 'this-node';

export interface RequestQuarantineOptions {
  /** Probes a worker whose connection broke. */
  readonly probeLiveness: (worker: WorkerRecord) => Promise<WorkerLiveness>;
  /** Reports a crash to the other nodes. */
  readonly reportCrash: (report: CrashReport) => void;
  /** Reports to the other nodes that a worker answered a request reported before. */
  readonly reportAcquittal: (request: RequestFingerprint) => void;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

export class RequestQuarantine {
  private readonly evidence: CrashEvidence;
  private readonly livenessProbes = new Map<WorkerIncarnation, Promise<WorkerLiveness>>();
  /** Crashes under a request that are not yet reported to the other nodes. */
  private readonly unreported = new Map<RequestFingerprint, Set<WorkerIncarnation>>();
  /** Prevents a quarantine from being logged more than once. */
  private readonly loggedQuarantines = new Set<RequestFingerprint>();
  /** Requests that may be reported when {@link REPORT_DELAY} ends. */
  private readonly pendingReports = new Map<RequestFingerprint, NextSender>();
  private reportTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RequestQuarantineOptions) {
    this.evidence = new CrashEvidence(options.clock);
  }

  /**
   * Whether a request may be sent to one more worker while `inFlight` attempts are pending. If
   * there is evidence against it, these count as crashes, since parallel attempts crash several
   * workers at once.
   */
  admits(request: FingerprintedRequest, inFlight = 0): boolean {
    const crashed = this.crashesUnder(request).length;
    return crashed === 0 || crashed + inFlight < MAX_CRASHED_WORKERS;
  }

  /** The failure of a quarantined request; `undefined` where it may be sent. */
  refusalOf(request: FingerprintedRequest): Failure | undefined {
    const crashes = this.crashesUnder(request);
    if (crashes.length < MAX_CRASHED_WORKERS) return undefined;
    const oldestCounted = crashes[crashes.length - MAX_CRASHED_WORKERS]?.at ?? 0;
    const retryAfter = oldestCounted + EVIDENCE_LIFETIME - this.options.clock.now();
    return failure('request_quarantined', `${crashes.length} workers ended under it`, {
      retryAfter,
    });
  }

  /** The workers that crashed under a request. */
  crashesUnder(request: FingerprintedRequest): readonly WorkerCrash[] {
    return this.evidence.isEmpty ? [] : this.evidence.crashesUnder(request.fingerprint);
  }

  /**
   * Records that the connection to a worker broke under a request. It counts as a crash at once,
   * since a retry may arrive before the probe ends, and is withdrawn if the worker is alive.
   */
  async noteBroken(
    worker: WorkerRecord,
    request: FingerprintedRequest,
    next: NextSender,
  ): Promise<void> {
    const fingerprint = request.fingerprint;
    const incarnation = workerIncarnationOf(worker);
    this.evidence.note(fingerprint, { worker: incarnation, at: this.options.clock.now() });
    const liveness = await this.livenessOf(worker);
    // Without an answer from this machine's own probe nothing is known about the worker.
    if (liveness === 'lives' || liveness === 'unchecked') {
      this.evidence.withdraw(fingerprint, incarnation);
      return;
    }
    if (!this.evidence.crashesUnder(fingerprint).some((crash) => crash.worker === incarnation))
      return;
    this.logQuarantine(fingerprint);
    const incarnations = this.unreported.get(fingerprint);
    if (incarnations === undefined) this.unreported.set(fingerprint, new Set([incarnation]));
    else incarnations.add(incarnation);
    this.pendingReports.set(fingerprint, next);
    this.reportTimer ??= setTimeout(() => this.reportPending(), REPORT_DELAY);
  }

  /**
   * Records that a request was cancelled at a worker. The gateway closes the connection itself and
   * would not see a crash, so it probes the worker if there is evidence against the request.
   */
  noteCancelled(worker: WorkerRecord, request: FingerprintedRequest): void {
    if (this.crashesUnder(request).length === 0) return;
    setTimeout(() => void this.probeAfterCancel(worker, request), CANCELLED_PROBE_DELAY);
  }

  private async probeAfterCancel(
    worker: WorkerRecord,
    request: FingerprintedRequest,
  ): Promise<void> {
    const liveness = await this.livenessOf(worker);
    const isSuspect = this.crashesUnder(request).length > 0;
    if (liveness === 'ended' && isSuspect) await this.noteBroken(worker, request, 'any-node');
  }

  /** Clears the evidence against a request to which a worker gave a complete answer. */
  noteAnswered(request: FingerprintedRequest): void {
    const crashes = this.crashesUnder(request);
    if (crashes.length === 0) return;
    const fingerprint = request.fingerprint;
    const unreportedCount = this.unreported.get(fingerprint)?.size ?? 0;
    this.evidence.clear(fingerprint);
    this.unreported.delete(fingerprint);
    this.loggedQuarantines.delete(fingerprint);
    if (crashes.length > unreportedCount) this.options.reportAcquittal(fingerprint);
  }

  /** Applies the report of another node or of an earlier incarnation of this node. */
  applyReport(report: CrashReport, at: Milliseconds): void {
    for (const fingerprint of report.requests) {
      this.evidence.note(fingerprint, { worker: report.worker, at });
      this.logQuarantine(fingerprint);
    }
  }

  /** Withdraws a report, on behalf of another node or an operator. */
  withdraw({ worker, requests }: CrashReport): void {
    for (const fingerprint of requests) {
      this.evidence.withdraw(fingerprint, worker);
      this.loggedQuarantines.delete(fingerprint);
    }
  }

  private logQuarantine(fingerprint: RequestFingerprint): void {
    const crashes = this.evidence.crashesUnder(fingerprint);
    if (crashes.length < MAX_CRASHED_WORKERS || this.loggedQuarantines.has(fingerprint)) return;
    this.loggedQuarantines.add(fingerprint);
    const workers = crashes.map(({ worker }) => worker);
    this.options.log.state('request-quarantined', {
      asked: fingerprint,
      workers: workers.join(', '),
    });
    this.options.metrics.count('quarantined_requests', {});
  }

  /** Probes a worker once for all requests that were on it. */
  private livenessOf(worker: WorkerRecord): Promise<WorkerLiveness> {
    const incarnation = workerIncarnationOf(worker);
    const pendingProbe = this.livenessProbes.get(incarnation);
    if (pendingProbe !== undefined) return pendingProbe;
    const probe = this.probeWorker(worker);
    this.livenessProbes.set(incarnation, probe);
    void probe.then((liveness) => {
      const isReusable = liveness === 'ended' || liveness === 'unknown';
      if (!isReusable) this.livenessProbes.delete(incarnation);
      else setTimeout(() => this.livenessProbes.delete(incarnation), LIVENESS_CACHE_TIME).unref();
    });
    return probe;
  }

  private async probeWorker(worker: WorkerRecord): Promise<WorkerLiveness> {
    const { probeLiveness, log, metrics, clock } = this.options;
    const probedAt = clock.now();
    const liveness = await probeLiveness(worker);
    const tookMs = Math.round(clock.now() - probedAt);
    metrics.count('broken_connections', { standing: liveness });
    log.decision('broken-connection-looked-into', {
      worker: worker.id,
      standing: liveness,
      tookMs,
    });
    return liveness;
  }

  /**
   * Reports crashes under unanswered requests now, after the delay or before the node stops and
   * would take them along.
   */
  reportPending(): void {
    clearTimeout(this.reportTimer);
    this.reportTimer = undefined;
    const requestsByWorker = new Map<WorkerIncarnation, RequestFingerprint[]>();
    for (const [fingerprint, next] of this.pendingReports) {
      const workers = this.unreported.get(fingerprint);
      if (workers === undefined || !this.shouldReport(fingerprint, next)) continue;
      this.unreported.delete(fingerprint);
      for (const worker of workers) {
        requestsByWorker.set(worker, [...(requestsByWorker.get(worker) ?? []), fingerprint]);
      }
    }
    this.pendingReports.clear();
    for (const [worker, requests] of requestsByWorker) {
      this.options.log.state('worker-ended', { worker, requests: requests.length });
      this.options.reportCrash({ worker, requests });
    }
  }

  private shouldReport(fingerprint: RequestFingerprint, next: NextSender): boolean {
    const minCrashes = next === 'any-node' ? 1 : SUSPICIOUS_CRASHES;
    return this.evidence.crashesUnder(fingerprint).length >= minCrashes;
  }
}
