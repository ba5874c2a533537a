/** What the forwarding of callers' requests works with. */
import type { Milliseconds } from '../core/units.js';
import type { TenantName } from '../tenants/tenant.js';
import type { RouteMatcher } from './route-matcher.js';
import type { SendingOptions } from './sending-options.js';

/** Options of a request forwarder. */
export interface RequestForwarderOptions extends SendingOptions {
  /** The routes in force. @default those that the request was taken under */
  readonly routes?: () => RouteMatcher | undefined;
  /** Told when a worker began to run a tenant's request, by steady time. */
  readonly noteBegun?: (tenant: TenantName, steadyTime: Milliseconds) => void;
}
