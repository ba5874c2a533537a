/**
 * Keeps requests that end their workers away from workers. A connection that breaks with a request
 * on it is looked into: where the worker has ended, that speaks against the request, at all nodes.
 * Once {@link MAX_CRASHED_WORKERS} have ended under it, it is sent to none until the evidence is old.
 *
 * The caller of such a request sees a failure and comes again at any node. Counting by exchange, a
 * request that may go to two workers ended eleven within 13 s where its caller came six times; by
 * request and over the fleet it ends three.
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
 * Time from the end of a worker until others are told what was there. Most of it is answered by
 * another worker meanwhile and need not be told: a lookup takes some 30 ms.
 */
const REPORT_DELAY: Milliseconds = 60;

/** Time for which the end of a worker need not be looked into again. */
const LIVENESS_CACHE_TIME: Milliseconds = 1_000;

/**
 * Time after which a worker is asked whether it has ended under a request that was given up there: a
 * lookup takes some 30 ms, and one that ends its worker does so while it runs.
 */
const CANCELLED_PROBE_DELAY: Milliseconds = 200;

/** Evidence from which on a request that only one node sends is told to the others. */
const SUSPICIOUS_CRASHES = 2;

/** What was at a worker when a life of it ended. */
export interface CrashReport {
  readonly worker: WorkerIncarnation;
  readonly requests: readonly RequestFingerprint[];
}

/** Who may send a request next: its caller at any node, or the node that sends it now. */
export type NextSender = 'any-node' | 'this-node';

/** Options of {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  /** Asks a worker whose connection broke whether it still lives. */
  readonly probeLiveness: (worker: WorkerRecord) => Promise<WorkerLiveness>;
  /** Tells the other nodes what was at a worker that ended. */
  readonly reportCrash: (report: CrashReport) => void;
  /** Tells the other nodes that a worker answered a request that was reported. */
  readonly reportAcquittal: (request: RequestFingerprint) => void;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** Decides whether a request may go to a worker. */
export class RequestQuarantine {
  private readonly evidence: CrashEvidence;
  private readonly livenessProbes = new Map<WorkerIncarnation, Promise<WorkerLiveness>>();
  /** Lives whose end under a request the other nodes have not been told. */
  private readonly unreported = new Map<RequestFingerprint, Set<WorkerIncarnation>>();
  /** Requests whose quarantine stands in the log. */
  private readonly loggedQuarantines = new Set<RequestFingerprint>();
  /** Requests that are looked at when the settling time is over. */
  private readonly pendingReports = new Map<RequestFingerprint, NextSender>();
  private reportTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RequestQuarantineOptions) {
    this.evidence = new CrashEvidence(options.clock);
  }

  /**
   * Whether a request may go to one more worker while it is at some others. With evidence against
   * it, those count as if they had ended: copies side by side end several workers at once.
   */
  admits(request: FingerprintedRequest, inFlight = 0): boolean {
    const crashed = this.crashesUnder(request).length;
    return crashed === 0 || crashed + inFlight < MAX_CRASHED_WORKERS;
  }

  /** Why a request is sent to no worker; `undefined` where it may be sent. */
  refusalOf(request: FingerprintedRequest): Failure | undefined {
    const crashes = this.crashesUnder(request);
    if (crashes.length < MAX_CRASHED_WORKERS) return undefined;
    const oldestCounted = crashes[crashes.length - MAX_CRASHED_WORKERS]?.at ?? 0;
    const retryAfter = oldestCounted + EVIDENCE_LIFETIME - this.options.clock.now();
    return failure('request_quarantined', `${crashes.length} workers ended under it`, {
      retryAfter,
    });
  }

  /** The workers that ended under a request. */
  crashesUnder(request: FingerprintedRequest): readonly WorkerCrash[] {
    return this.evidence.isEmpty ? [] : this.evidence.crashesUnder(request.fingerprint);
  }

  /**
   * The connection to a worker broke while a request was there. That counts at once, as the request
   * may come again before the worker was asked, and is taken back where the worker lives.
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
    if (liveness === 'lives') {
      this.evidence.withdraw(fingerprint, incarnation);
      return;
    }
    if (!this.evidence.crashesUnder(fingerprint).some((end) => end.worker === incarnation)) return;
    this.logQuarantine(fingerprint);
    const incarnations = this.unreported.get(fingerprint);
    if (incarnations === undefined) this.unreported.set(fingerprint, new Set([incarnation]));
    else incarnations.add(incarnation);
    this.pendingReports.set(fingerprint, next);
    this.reportTimer ??= setTimeout(() => this.settle(), REPORT_DELAY);
  }

  /**
   * A request under which workers ended was given up while it was at another: at its deadline, or as
   * its caller left. Its connection is closed from here, so that nothing tells of that worker's end;
   * it is asked. Where nothing speaks against the request, nobody is asked.
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

  /** A worker gave a whole answer: the request does not end workers. */
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

  /** Takes in what another node, or an earlier life of this one, was told by a broken connection. */
  applyReport(report: CrashReport, at: Milliseconds): void {
    for (const fingerprint of report.requests) {
      this.evidence.note(fingerprint, { worker: report.worker, at });
      this.logQuarantine(fingerprint);
    }
  }

  /** Another node took back that a request was at a worker when it ended, or an operator did. */
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

  /** One question for all requests that were at a worker. */
  private livenessOf(worker: WorkerRecord): Promise<WorkerLiveness> {
    const incarnation = workerIncarnationOf(worker);
    const known = this.livenessProbes.get(incarnation);
    if (known !== undefined) return known;
    const probe = this.probeWorker(worker);
    this.livenessProbes.set(incarnation, probe);
    void probe.then((liveness) => {
      if (liveness === 'lives') this.livenessProbes.delete(incarnation);
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
   * Tells the others now what is still unanswered of what was at workers that ended; a node that is
   * about to stop takes it along otherwise.
   */
  settle(): void {
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
