/** Options shared by all components that send work to workers. */
import type { ZoneName } from '../core/identity.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { Clock } from './clock.js';
import type { EnginePort } from './engine-port.js';
import type { RequestQuarantine } from './request-quarantine.js';
import type { WorkerRegistry } from './worker-registry.js';

export interface SendingOptions {
  readonly engine: EnginePort;
  /** Event field that reports a change of weights, in lower case. */
  readonly versionField: string;
  readonly registry: WorkerRegistry;
  readonly quarantine: RequestQuarantine;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  /** Zone of this node. */
  readonly zone: ZoneName;
}
