/** Metrics and log lines about the outcome of one request. */
import type { Milliseconds } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { CallerRequest } from './answer-sink.js';
import type { RequestForwarderOptions } from './forwarding-options.js';
import type { Route, ServiceName } from './traffic-configuration.js';
import type { KnownWorker } from './worker-registry.js';

export interface ExchangeReportOptions
  extends Pick<RequestForwarderOptions, 'clock' | 'log' | 'metrics'> {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: ServiceName;
}

/** Outcome of an answered request; also the name of the log event and the metric's label. */
export type AnsweredOutcome = 'request-answered' | 'stream-answered' | 'stream-broken-off';

export class ExchangeReport {
  constructor(private readonly options: ExchangeReportOptions) {}

  /** The gateway answered with a failure of its own. */
  noteFailed(reason: Failure, attempts: number): void {
    const { request, route, service, log } = this.options;
    this.recordMetrics(reason.kind);
    log.decision('request-refused', {
      request: request.requestId,
      route: route.name,
      service,
      kind: reason.kind,
      detail: reason.detail,
      attempts,
      tookMs: this.elapsed(),
    });
  }

  /** The caller received a worker's answer or a part of it. */
  noteAnswered(
    outcome: AnsweredOutcome,
    worker: KnownWorker,
    status: number,
    attempts: number,
  ): void {
    const { request, route, log } = this.options;
    this.recordMetrics(outcome);
    log.decision(outcome, {
      request: request.requestId,
      route: route.name,
      worker: worker.record.id,
      status,
      attempts,
      tookMs: this.elapsed(),
    });
  }

  private recordMetrics(outcome: string): void {
    const { route, metrics } = this.options;
    metrics.count('requests', { kind: route.kind, outcome });
    metrics.observe('request_seconds', { kind: route.kind }, this.elapsed());
  }

  private elapsed(): Milliseconds {
    return Math.round(this.options.clock.now() - this.options.request.receivedAt);
  }
}
