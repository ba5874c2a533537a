/**
 * Decides which nodes may store a batch job: the bodies of its items and their results. The allowed
 * regions follow from the routes of its requests and from its tenant, by the active configuration,
 * so a changed configuration applies to the job's next step. The job's head alone is enough to
 * decide.
 */
import type { NodeId, RegionName, ZoneName } from '../core/identity.js';
import type { RouteMatcher } from '../serving/route-matcher.js';
import type { Route } from '../serving/traffic-configuration.js';
import type { TenantName } from '../tenants/tenant.js';
import { type AllowedRegions, allowedByBoth, allowsRegion } from './allowed-regions.js';
import { topologyWithoutRegions, type ZoneTopology } from './zone-topology.js';

/** Host and path, by which a route is matched. */
export interface RoutedRequest {
  readonly host: string;
  readonly path: string;
}

/** Fields of a job's head that determine its allowed regions. */
export interface JobOrigin {
  readonly tenant?: TenantName | undefined;
  /** One request for each of the job's routes; `undefined` where the head has none. */
  readonly requests?: readonly RoutedRequest[] | undefined;
  /** The zone that accepted the job; `undefined` where the head has none. */
  readonly zone?: ZoneName | undefined;
}

/** The requests of a submitted job. */
export interface SubmittedRequests extends RoutedRequest {
  readonly tenant?: TenantName | undefined;
  readonly items: readonly {
    readonly path: string;
    readonly scoreRequest?: RoutedRequest | undefined;
  }[];
}

export type MayHold = (node: NodeId) => boolean;

export interface JobResidencyOptions {
  readonly topology: ZoneTopology;
  readonly self: NodeId;
  readonly zoneOf: (node: NodeId) => ZoneName | undefined;
  readonly routes: () => RouteMatcher | undefined;
}

/** Applies the region limits of routes and tenants to jobs. */
export class JobResidency {
  constructor(private readonly options: JobResidencyOptions) {}

  /** Whether the active configuration limits any work to regions. */
  get limitsRegions(): boolean {
    return this.options.routes()?.limitsRegions ?? false;
  }

  /** Regions that may store a job, from its whole specification. */
  regionsForSpec(spec: SubmittedRequests): AllowedRegions {
    return this.limitsRegions ? this.regionsForOrigin(this.originOf(spec)) : undefined;
  }

  /**
   * Regions that may store a job, from its head. Requests that no route matches any more, or a head
   * without requests, limit the job to the region that accepted it.
   */
  regionsForOrigin({ tenant, requests, zone }: JobOrigin): AllowedRegions {
    const routes = this.options.routes();
    if (routes === undefined || !routes.limitsRegions) return undefined;
    const acceptanceRegion = this.onlyRegionOf(zone);
    const tenantRecord = tenant === undefined ? undefined : routes.tenants.get(tenant);
    const byRoutes = (requests ?? [undefined]).map((request) => {
      const route = request && routes.match(request.host, request.path);
      return route === undefined ? acceptanceRegion : route.allowedRegions;
    });
    return byRoutes.reduce(allowedByBoth, tenantRecord?.allowedRegions);
  }

  /** The tenant, requests by route and zone that determine the job's allowed regions. */
  originOf(spec: SubmittedRequests): JobOrigin {
    const { tenant } = spec;
    return { tenant, requests: this.requestsByRoute(spec), zone: this.options.topology.zone };
  }

  /** Fields for a job's head beside tenant and zone; empty unless the fleet spans regions. */
  headFieldsFor(spec: SubmittedRequests): { readonly requests?: RoutedRequest[] } {
    return this.options.topology.spansRegions ? { requests: this.requestsByRoute(spec) } : {};
  }

  /** Whether a node may store work allowed in these regions. */
  mayHold(node: NodeId, allowed: AllowedRegions): boolean {
    if (allowed === undefined) return true;
    const { self, topology, zoneOf } = this.options;
    const zone = node === self ? topology.zone : zoneOf(node);
    return this.mayHoldIn(zone, allowed);
  }

  /** Whether this node may store work allowed in these regions. */
  mayHoldHere(allowed: AllowedRegions): boolean {
    return this.mayHold(this.options.self, allowed);
  }

  /** Whether the nodes of a zone may store work; an unknown zone may store only unlimited work. */
  mayHoldIn(zone: ZoneName | undefined, allowed: AllowedRegions): boolean {
    const region = zone === undefined ? undefined : this.options.topology.regionOf(zone);
    return allowsRegion(allowed, region);
  }

  /** Whether two zones are in one region; an unknown zone matches only another unknown one. */
  areInOneRegion(left: ZoneName | undefined, right: ZoneName | undefined): boolean {
    const { topology } = this.options;
    if (left === undefined || right === undefined) return left === right;
    return topology.regionOf(left) === topology.regionOf(right);
  }

  /** Returns a predicate that selects the nodes allowed by {@link mayHold}. */
  holderFilter(allowed: AllowedRegions): MayHold {
    return (node) => this.mayHold(node, allowed);
  }

  /** One request for each distinct route: a job has many items and few routes. */
  private requestsByRoute({ host, path, items }: SubmittedRequests): RoutedRequest[] {
    const routes = this.options.routes();
    const byRoute = new Map<Route | undefined, RoutedRequest>();
    const add = (request: RoutedRequest): void => {
      const route = routes?.match(request.host, request.path);
      if (!byRoute.has(route)) byRoute.set(route, { host: request.host, path: request.path });
    };
    add({ host, path });
    for (const item of items) {
      add({ host, path: item.path });
      if (item.scoreRequest !== undefined) add(item.scoreRequest);
    }
    return [...byRoute.values()];
  }

  /** Allows only the region of a zone; any region where the zone or its region is unknown. */
  private onlyRegionOf(zone: ZoneName | undefined): AllowedRegions {
    const region: RegionName | undefined =
      zone === undefined ? undefined : this.options.topology.regionOf(zone);
    return region === undefined ? undefined : [region];
  }
}

/** Any node may store any job. */
export const UNRESTRICTED_RESIDENCY = new JobResidency({
  topology: topologyWithoutRegions(''),
  self: '',
  zoneOf: () => undefined,
  routes: () => undefined,
});
