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
  type WorkerEnd,
} from './crash-evidence.js';
import type { WorkerLiveness } from './engine-port.js';
import type { FingerprintedRequest, RequestFingerprint } from './request-fingerprint.js';
import type { WorkerRecord } from './traffic-configuration.js';
import { type WorkerIncarnation, workerIncarnationOf } from './worker-incarnation.js';

/**
 * Time from the end of a worker until others are told what was there. Most of it is answered by
 * another worker meanwhile and need not be told: a lookup takes some 30 ms.
 */
const SETTLE_TIME: Milliseconds = 60;

/** Time for which the end of a worker need not be looked into again. */
const VERDICT_LIFETIME: Milliseconds = 1_000;

/**
 * Time after which a worker is asked whether it has ended under a request that was given up there: a
 * lookup takes some 30 ms, and one that ends its worker does so while it runs.
 */
const GIVEN_UP_DELAY: Milliseconds = 200;

/** Evidence from which on a request that only one node sends is told to the others. */
const SUSPICIOUS_ENDS = 2;

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
  private readonly verdicts = new Map<WorkerIncarnation, Promise<WorkerLiveness>>();
  /** Lives whose end under a request the other nodes have not been told. */
  private readonly unreported = new Map<RequestFingerprint, Set<WorkerIncarnation>>();
  /** Requests whose quarantine stands in the log. */
  private readonly announced = new Set<RequestFingerprint>();
  /** Requests that are looked at when the settling time is over. */
  private readonly settling = new Map<RequestFingerprint, NextSender>();
  private settleTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RequestQuarantineOptions) {
    this.evidence = new CrashEvidence(options.clock);
  }

  /**
   * Whether a request may go to one more worker while it is at some others. With evidence against
   * it, those count as if they had ended: copies side by side end several workers at once.
   */
  admits(asked: FingerprintedRequest, underWay = 0): boolean {
    const ended = this.crashesUnder(asked).length;
    return ended === 0 || ended + underWay < MAX_CRASHED_WORKERS;
  }

  /** Why a request is sent to no worker; `undefined` where it may be sent. */
  refusalOf(asked: FingerprintedRequest): Failure | undefined {
    const ends = this.crashesUnder(asked);
    if (ends.length < MAX_CRASHED_WORKERS) return undefined;
    const firstToLapse = ends[ends.length - MAX_CRASHED_WORKERS]?.at ?? 0;
    const retryAfter = firstToLapse + EVIDENCE_LIFETIME - this.options.clock.now();
    return failure('request_quarantined', `${ends.length} workers ended under it`, { retryAfter });
  }

  /** The workers that ended under a request. */
  crashesUnder(asked: FingerprintedRequest): readonly WorkerEnd[] {
    return this.evidence.isEmpty ? [] : this.evidence.endedUnder(asked.fingerprint);
  }

  /**
   * The connection to a worker broke while a request was there. That counts at once, as the request
   * may come again before the worker was asked, and is taken back where the worker lives.
   */
  async noteBroken(
    worker: WorkerRecord,
    asked: FingerprintedRequest,
    next: NextSender,
  ): Promise<void> {
    const request = asked.fingerprint;
    const life = workerIncarnationOf(worker);
    this.evidence.note(request, { worker: life, at: this.options.clock.now() });
    const standing = await this.verdictOn(worker);
    if (standing === 'lives') {
      this.evidence.withdraw(request, life);
      return;
    }
    if (!this.evidence.endedUnder(request).some((end) => end.worker === life)) return;
    this.announce(request);
    const lives = this.unreported.get(request);
    if (lives === undefined) this.unreported.set(request, new Set([life]));
    else lives.add(life);
    this.settling.set(request, next);
    this.settleTimer ??= setTimeout(() => this.settle(), SETTLE_TIME);
  }

  /**
   * A request under which workers ended was given up while it was at another: at its deadline, or as
   * its caller left. Its connection is closed from here, so that nothing tells of that worker's end;
   * it is asked. Where nothing speaks against the request, nobody is asked.
   */
  noteGivenUp(worker: WorkerRecord, asked: FingerprintedRequest): void {
    if (this.crashesUnder(asked).length === 0) return;
    setTimeout(() => void this.lookIntoGivenUp(worker, asked), GIVEN_UP_DELAY);
  }

  private async lookIntoGivenUp(worker: WorkerRecord, asked: FingerprintedRequest): Promise<void> {
    const standing = await this.verdictOn(worker);
    const isSuspect = this.crashesUnder(asked).length > 0;
    if (standing === 'ended' && isSuspect) await this.noteBroken(worker, asked, 'any-node');
  }

  /** A worker gave a whole answer: the request does not end workers. */
  noteAnswered(asked: FingerprintedRequest): void {
    const ends = this.crashesUnder(asked);
    if (ends.length === 0) return;
    const request = asked.fingerprint;
    const untold = this.unreported.get(request)?.size ?? 0;
    this.evidence.clear(request);
    this.unreported.delete(request);
    this.announced.delete(request);
    if (ends.length > untold) this.options.reportAcquittal(request);
  }

  /** Takes in what another node, or an earlier life of this one, was told by a broken connection. */
  applyReport(report: CrashReport, at: Milliseconds): void {
    for (const request of report.requests) {
      this.evidence.note(request, { worker: report.worker, at });
      this.announce(request);
    }
  }

  /** Another node took back that a request was at a worker when it ended, or an operator did. */
  withdraw({ worker, requests }: CrashReport): void {
    for (const request of requests) {
      this.evidence.withdraw(request, worker);
      this.announced.delete(request);
    }
  }

  private announce(request: RequestFingerprint): void {
    const ends = this.evidence.endedUnder(request);
    if (ends.length < MAX_CRASHED_WORKERS || this.announced.has(request)) return;
    this.announced.add(request);
    const workers = ends.map(({ worker }) => worker);
    this.options.log.state('request-quarantined', { asked: request, workers: workers.join(', ') });
    this.options.metrics.count('quarantined_requests', {});
  }

  /** One question for all requests that were at a worker. */
  private verdictOn(worker: WorkerRecord): Promise<WorkerLiveness> {
    const life = workerIncarnationOf(worker);
    const known = this.verdicts.get(life);
    if (known !== undefined) return known;
    const verdict = this.askWorker(worker);
    this.verdicts.set(life, verdict);
    void verdict.then((standing) => {
      if (standing === 'lives') this.verdicts.delete(life);
      else setTimeout(() => this.verdicts.delete(life), VERDICT_LIFETIME).unref();
    });
    return verdict;
  }

  private async askWorker(worker: WorkerRecord): Promise<WorkerLiveness> {
    const { probeLiveness: standingOf, log, metrics, clock } = this.options;
    const askedAt = clock.now();
    const standing = await standingOf(worker);
    const tookMs = Math.round(clock.now() - askedAt);
    metrics.count('broken_connections', { standing });
    log.decision('broken-connection-looked-into', { worker: worker.id, standing, tookMs });
    return standing;
  }

  /**
   * Tells the others now what is still unanswered of what was at workers that ended; a node that is
   * about to stop takes it along otherwise.
   */
  settle(): void {
    clearTimeout(this.settleTimer);
    this.settleTimer = undefined;
    const requestsByWorker = new Map<WorkerIncarnation, RequestFingerprint[]>();
    for (const [request, next] of this.settling) {
      const workers = this.unreported.get(request);
      if (workers === undefined || !this.isWorthTelling(request, next)) continue;
      this.unreported.delete(request);
      for (const worker of workers) {
        requestsByWorker.set(worker, [...(requestsByWorker.get(worker) ?? []), request]);
      }
    }
    this.settling.clear();
    for (const [worker, requests] of requestsByWorker) {
      this.options.log.state('worker-ended', { worker, requests: requests.length });
      this.options.reportCrash({ worker, requests });
    }
  }

  private isWorthTelling(request: RequestFingerprint, next: NextSender): boolean {
    const least = next === 'any-node' ? 1 : SUSPICIOUS_ENDS;
    return this.evidence.endedUnder(request).length >= least;
  }
}
