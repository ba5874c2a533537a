/**
 * The port to the operator's cloud interface: calls that are the duty of one node at a time, each
 * under that node's fencing token. An adapter implements it. Nothing can be read back there.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Revision } from '../core/units.js';
import type { ServiceName } from '../serving/traffic-configuration.js';
import type { TenantName } from '../tenants/tenant.js';

/** Who makes a call: the node that holds the duty, and the token that rises with each holder. */
export interface FencedHolder {
  readonly holder: NodeId;
  readonly fencingToken: Revision;
}

/** Requests that workers began to run in one window of the time of day. */
export interface UsageReport {
  /** Window `k` begins `k` times the length of a window after the start of 1970. */
  readonly window: number;
  readonly counts: Readonly<Record<TenantName, number>>;
}

/** How many workers of a service are wanted in one zone. */
export interface WorkerOrder {
  readonly service: ServiceName;
  readonly zone: ZoneName;
  readonly wanted: number;
}

/** What came of a call. */
export type CloudCallOutcome =
  | 'accepted'
  /** Another holder acted under a higher token. */
  | 'superseded'
  /** Nothing was done: too many calls at the moment, or the service is away. */
  | 'throttled'
  | 'unavailable'
  /** The call is wrong and would be refused again. */
  | 'refused'
  /** It may have been carried out, or may be carried out seconds later. */
  | 'unknown';

/** The cloud interface. No method rejects. */
export interface CloudPort {
  /** Reports usage; an exact repetition changes nothing. */
  reportUsage(report: UsageReport, stamp: FencedHolder): Promise<CloudCallOutcome>;
  /** Orders a number of workers. */
  orderWorkers(order: WorkerOrder, stamp: FencedHolder): Promise<CloudCallOutcome>;
}
