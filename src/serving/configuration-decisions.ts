/** Decides on callers' requests by the active configuration, and reports those that are rejected for good. */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, isFinalRejection } from '../errors/error-kinds.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { ActiveConfiguration } from './active-configuration.js';

/** Longest text of a request in a log line, in characters. */
const MAX_LOGGED_LENGTH = 200;

/** A request on which the configuration decides. */
export interface DecidedRequest {
  readonly requestId: string;
  readonly host: string;
  /** Without the query. */
  readonly path: string;
}

/** How recent this node's copy of the configuration is. */
export interface ConfigurationFreshness {
  /** Time for which changes may be missing; infinite before the first configuration. */
  readonly age: Milliseconds;
  /** The node, or the store, that last provided the configuration. */
  readonly source: NodeId;
}

export interface ConfigurationDecisionsOptions {
  readonly configuration: Pick<ActiveConfiguration, 'version'>;
  readonly freshness: ConfigurationFreshness;
  readonly log: Pick<DecisionLog, 'rejection'>;
  readonly metrics: Pick<FleetMetrics, 'count'>;
}

export class ConfigurationDecisions {
  constructor(private readonly options: ConfigurationDecisionsOptions) {}

  /** Resolves to the outcome of a decision, or to the failure with which to reject the request. */
  async decide<Outcome extends object>(
    request: DecidedRequest,
    decision: () => Outcome | Failure | Promise<Outcome | Failure>,
  ): Promise<Outcome | Failure> {
    const { age } = this.options.freshness;
    const outcome = await decision();
    if ('detail' in outcome && isFinalRejection(outcome)) this.noteRejected(request, outcome, age);
    return outcome;
  }

  private noteRejected(
    { requestId, host, path }: DecidedRequest,
    { kind, detail }: Failure,
    age: Milliseconds,
  ): void {
    const { configuration, freshness, log, metrics } = this.options;
    metrics.count('rejections', { kind });
    log.rejection('request-rejected', {
      request: requestId,
      host: host.slice(0, MAX_LOGGED_LENGTH),
      path: path.slice(0, MAX_LOGGED_LENGTH),
      ...{ kind, detail, version: configuration.version ?? 0 },
      ...(Number.isFinite(age) ? { ageMs: Math.round(age) } : {}),
      by: freshness.source,
    });
  }
}
