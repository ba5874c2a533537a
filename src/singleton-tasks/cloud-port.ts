/**
 * Port to the operator's cloud interface. One node at a time calls it, under its fencing token; the
 * interface accepts writes only.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Revision } from '../core/units.js';
import type { ServiceName } from '../serving/traffic-configuration.js';
import type { TenantName } from '../tenants/tenant.js';

/** The node that makes a call, and its fencing token, which rises with each holder. */
export interface FencedHolder {
  readonly holder: NodeId;
  readonly fencingToken: Revision;
}

/** Number of requests that workers started in one time window, by tenant. */
export interface UsageReport {
  /** Number of whole windows between the Unix epoch and the start of this one. */
  readonly window: number;
  readonly counts: Readonly<Record<TenantName, number>>;
}

/** Desired number of workers of a service in one zone. */
export interface WorkerOrder {
  readonly service: ServiceName;
  readonly zone: ZoneName;
  readonly desiredCount: number;
}

export type CloudCallOutcome =
  | 'accepted'
  /** Another holder acted under a higher token. */
  | 'superseded'
  /** The call had no effect: rate limit or outage. */
  | 'throttled'
  | 'unavailable'
  /** The call is invalid, and a retry would fail too. */
  | 'refused'
  /** The call may have taken effect, or may do so seconds later. */
  | 'unknown';

/** Calls to the cloud interface. No method rejects. */
export interface CloudPort {
  /** Idempotent: repeating the same report has no effect. */
  reportUsage(report: UsageReport, caller: FencedHolder): Promise<CloudCallOutcome>;
  /** Sets the desired number of workers. */
  orderWorkers(order: WorkerOrder, caller: FencedHolder): Promise<CloudCallOutcome>;
}
