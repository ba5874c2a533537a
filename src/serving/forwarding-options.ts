/** Options of request forwarding. */
import type { Milliseconds } from '../core/units.js';
import type { TenantName } from '../tenants/tenant.js';
import type { RouteMatcher } from './route-matcher.js';
import type { SendingOptions } from './sending-options.js';

export interface RequestForwarderOptions extends SendingOptions {
  /** The active routes. @default those that were active when the request arrived */
  readonly routes?: () => RouteMatcher | undefined;
  /** Called once per request of a tenant, with the steady time at which a worker started it. */
  readonly onRunStarted?: (tenant: TenantName, steadyTime: Milliseconds) => void;
}
