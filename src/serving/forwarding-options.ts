/** What the forwarding of callers' requests works with. */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { TenantName } from '../tenants/tenant.js';
import type { Clock } from './clock.js';
import type { EnginePort } from './engine-port.js';
import type { RequestQuarantine } from './request-quarantine.js';
import type { WorkerRegistry } from './worker-registry.js';

/** Options of a request forwarder. */
export interface RequestForwarderOptions {
  readonly engine: EnginePort;
  readonly versionField: string;
  readonly registry: WorkerRegistry;
  readonly quarantine: RequestQuarantine;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly zone: ZoneName;
  /** Told when a worker began to run a tenant's request, by steady time. */
  readonly noteBegun?: (tenant: TenantName, steadyTime: Milliseconds) => void;
}
