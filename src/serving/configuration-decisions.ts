/**
 * Decides on callers' requests by the active configuration. A request is rejected for good only by a
 * configuration that is current: where changes may be missing, the configuration is read anew, or the
 * rejection allows a retry. Requests that are admitted never wait, so that a node serves on while the
 * store is unreachable.
 */
import { firstValueFrom, from, race, timer } from 'rxjs';
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure, isFinalRejection } from '../errors/error-kinds.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { type ActiveConfiguration, CONFIGURATION_RETRY_AFTER } from './active-configuration.js';
import { holdLimitOf } from './start-gate.js';

/** Longest text of a request in a log line, in characters. */
const MAX_LOGGED_LENGTH = 200;

/** A request on which the configuration decides. */
export interface DecidedRequest {
  readonly requestId: string;
  readonly host: string;
  /** Without the query. */
  readonly path: string;
  /** Time that the caller gives; `undefined` where it gives none. */
  readonly timeout: Milliseconds | undefined;
}

/** How recent this node's copy of the configuration is. */
export interface ConfigurationFreshness {
  /** Time for which changes may be missing; infinite before the first configuration. */
  readonly age: Milliseconds;
  /** The node, or the store, that last provided the configuration. */
  readonly source: NodeId;
  /** Whether no change that had to take effect by now can be missing. */
  readonly isCurrent: boolean;
  /** Reads the configuration anew; resolves whether or not that succeeds. */
  refresh(): Promise<void>;
}

/** What a rejection rests on; logged and counted under this value. */
type RejectionBasis =
  | 'current'
  /** Current since it was read anew. */
  | 'refreshed'
  /** Changes may be missing, so the rejection allows a retry. */
  | 'unconfirmed';

export interface ConfigurationDecisionsOptions {
  readonly configuration: Pick<ActiveConfiguration, 'version'>;
  readonly freshness: ConfigurationFreshness;
  readonly log: Pick<DecisionLog, 'rejection'>;
  readonly metrics: Pick<FleetMetrics, 'count'>;
}

export class ConfigurationDecisions {
  constructor(private readonly options: ConfigurationDecisionsOptions) {}

  /**
   * Resolves to the outcome of a decision, or to the failure with which to reject the request. A
   * final rejection that is not conclusive is decided once more, so the decision must be repeatable.
   */
  async decide<Outcome extends object>(
    request: DecidedRequest,
    decision: () => Outcome | Failure | Promise<Outcome | Failure>,
  ): Promise<Outcome | Failure> {
    const { freshness } = this.options;
    const refreshed = freshness.isCurrent ? undefined : freshness.refresh();
    const outcome = await decision();
    if (!isRejectedForGood(outcome)) return outcome;
    if (refreshed === undefined) return this.reject(request, outcome, 'current');
    await firstValueFrom(race(from(refreshed), timer(holdLimitOf(request.timeout))));
    if (!freshness.isCurrent) return this.reject(request, outcome, 'unconfirmed');
    const repeated = await decision();
    return isRejectedForGood(repeated) ? this.reject(request, repeated, 'refreshed') : repeated;
  }

  private reject(request: DecidedRequest, rejection: Failure, basis: RejectionBasis): Failure {
    const { configuration, freshness, log, metrics } = this.options;
    const { requestId, host, path } = request;
    const { kind, detail } = rejection;
    const { age, source: by } = freshness;
    const version = configuration.version ?? 0;
    metrics.count('rejections', { kind, basis });
    log.rejection('request-rejected', {
      request: requestId,
      host: host.slice(0, MAX_LOGGED_LENGTH),
      path: path.slice(0, MAX_LOGGED_LENGTH),
      ...{ kind, detail, basis, version, by },
      ...(Number.isFinite(age) ? { ageMs: Math.round(age) } : {}),
    });
    if (basis !== 'unconfirmed') return rejection;
    return failure('cut_off', `version ${version} may have been replaced`, {
      retryAfter: CONFIGURATION_RETRY_AFTER,
    });
  }
}

function isRejectedForGood(outcome: object): outcome is Failure {
  return 'detail' in outcome && isFinalRejection(outcome as Failure);
}
