/** Matches requests to routes by host and longest path prefix, and splits routes by weight. */
import { type AllowedRegions, allowedByBoth } from '../placement/allowed-regions.js';
import type { TenantName } from '../tenants/tenant.js';
import { TenantDirectory } from '../tenants/tenant-directory.js';
import type {
  Route,
  RouteTarget,
  ServiceName,
  TrafficConfiguration,
} from './traffic-configuration.js';

/** Smooth weighted round robin, as in nginx: shares are exact over each cycle of picks. */
class WeightedSplit {
  private readonly currentWeights: number[];
  private readonly total: number;

  constructor(private readonly targets: readonly RouteTarget[]) {
    this.currentWeights = targets.map(() => 0);
    this.total = targets.reduce((sum, target) => sum + target.weight, 0);
  }

  next(): ServiceName | undefined {
    let best = -1;
    for (const [index, target] of this.targets.entries()) {
      if (target.weight <= 0) continue;
      this.currentWeights[index] = (this.currentWeights[index] ?? 0) + target.weight;
      if (best < 0 || (this.currentWeights[index] ?? 0) > (this.currentWeights[best] ?? 0))
        best = index;
    }
    if (best < 0) return undefined;
    this.currentWeights[best] = (this.currentWeights[best] ?? 0) - this.total;
    return this.targets[best]?.service;
  }
}

/** The routes of one configuration, indexed by host. */
export class RouteMatcher {
  private readonly byHost = new Map<string, Route[]>();
  private readonly splits = new Map<string, WeightedSplit>();
  readonly tenants: TenantDirectory;
  /** Whether any route or tenant is limited to regions. */
  readonly limitsRegions: boolean;

  constructor(readonly configuration: TrafficConfiguration) {
    this.tenants = new TenantDirectory(configuration.tenants);
    const limited = [...configuration.routes, ...(configuration.tenants ?? [])];
    this.limitsRegions = limited.some(({ allowedRegions }) => allowedRegions !== undefined);
    for (const route of configuration.routes) {
      const routes = this.byHost.get(route.host) ?? [];
      routes.push(route);
      this.byHost.set(route.host, routes);
      this.splits.set(route.name, new WeightedSplit(route.targets));
    }
    for (const routes of this.byHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
  }

  /** The route with the longest matching path prefix; a port in `host` is ignored. */
  match(host: string, path: string): Route | undefined {
    return this.byHost.get(hostNameOf(host))?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Whether any batch route of this host is open to callers without a key. */
  hasPublicBatchRoute(host: string): boolean {
    const routes = this.byHost.get(hostNameOf(host)) ?? [];
    return routes.some((route) => route.kind === 'batch' && route.isPublic);
  }

  /** The service for the next request of a route, by the weights of its targets. */
  nextService(route: Route): ServiceName | undefined {
    return this.splits.get(route.name)?.next();
  }

  /**
   * Regions in which a tenant's requests on a route may be served and stored; both limits apply.
   */
  allowedRegions(route: Route, tenant: TenantName | undefined): AllowedRegions {
    const tenantRecord = tenant === undefined ? undefined : this.tenants.get(tenant);
    return allowedByBoth(route.allowedRegions, tenantRecord?.allowedRegions);
  }

  /** The route of this name; `undefined` where the configuration no longer has it. */
  routeNamed(name: string): Route | undefined {
    return this.configuration.routes.find((route) => route.name === name);
  }
}

/** The name in a `Host` header, without its port. */
function hostNameOf(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}
