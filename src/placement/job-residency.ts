/**
 * Which nodes may hold a batch job: its items' bodies and what is made of them. The routes of its
 * requests and its tenant decide, by the configuration in force, so that a changed configuration
 * holds for each further step of a job. A node that must not hold a job still learns by its head
 * alone where it may lie.
 */
import type { NodeId, RegionName, ZoneName } from '../core/identity.js';
import type { RouteMatcher } from '../serving/route-matcher.js';
import type { Route } from '../serving/traffic-configuration.js';
import type { TenantName } from '../tenants/tenant.js';
import { type AllowedRegions, allowedByBoth, allowsRegion } from './allowed-regions.js';
import { topologyWithoutRegions, type ZoneTopology } from './zone-topology.js';

/** What the route of a request is found by. */
export interface RoutedRequest {
  readonly host: string;
  readonly path: string;
}

/** What the regions of a job are found by. */
export interface JobOrigin {
  readonly tenant?: TenantName | undefined;
  /** A request for each route that it takes; `undefined` where that was not noted. */
  readonly requests?: readonly RoutedRequest[] | undefined;
  /** The zone in which it was taken in; `undefined` where that was not noted. */
  readonly zone?: ZoneName | undefined;
}

/** The requests of a job, as it was submitted. */
export interface SubmittedRequests extends RoutedRequest {
  readonly tenant?: TenantName | undefined;
  readonly items: readonly {
    readonly path: string;
    readonly scoreRequest?: RoutedRequest | undefined;
  }[];
}

/** Whether a node may hold a job. */
export type MayHold = (node: NodeId) => boolean;

/** Options of {@link JobResidency}. */
export interface JobResidencyOptions {
  readonly topology: ZoneTopology;
  /** The name of this node. */
  readonly self: NodeId;
  readonly zoneOf: (node: NodeId) => ZoneName | undefined;
  readonly routes: () => RouteMatcher | undefined;
}

/** Keeps jobs in their regions. */
export class JobResidency {
  constructor(private readonly options: JobResidencyOptions) {}

  /** Whether the configuration in force limits any work to regions. */
  get limitsRegions(): boolean {
    return this.options.routes()?.limitsRegions ?? false;
  }

  /** Where a job may lie, as it was submitted. */
  regionsForSpec(spec: SubmittedRequests): AllowedRegions {
    return this.limitsRegions ? this.regionsForOrigin(this.originOf(spec)) : undefined;
  }

  /**
   * Where a job may lie by what was noted of it. What no route speaks for any more, or was never
   * noted, stays in the region that it was taken in.
   */
  regionsForOrigin({ tenant, requests, zone }: JobOrigin): AllowedRegions {
    const routes = this.options.routes();
    if (routes === undefined || !routes.limitsRegions) return undefined;
    const regionTakenIn = this.regionAlone(zone);
    const owner = tenant === undefined ? undefined : routes.tenants.named(tenant);
    const byRoutes = (requests ?? [undefined]).map((request) => {
      const route = request && routes.match(request.host, request.path);
      return route === undefined ? regionTakenIn : route.allowedRegions;
    });
    return byRoutes.reduce(allowedByBoth, owner?.allowedRegions);
  }

  /** What is to be noted of a job that is taken in here. */
  originOf(spec: SubmittedRequests): JobOrigin {
    const { tenant } = spec;
    return { tenant, requests: this.requestsByRoute(spec), zone: this.options.topology.zone };
  }

  /** What a job's head notes, beside its tenant and zone; only fleets that span regions need it. */
  headFieldsFor(spec: SubmittedRequests): { readonly requests?: RoutedRequest[] } {
    return this.options.topology.spansRegions ? { requests: this.requestsByRoute(spec) } : {};
  }

  /** Whether a node may hold what is allowed in these regions. */
  mayHold(node: NodeId, allowed: AllowedRegions): boolean {
    if (allowed === undefined) return true;
    const { self, topology, zoneOf } = this.options;
    const zone = node === self ? topology.zone : zoneOf(node);
    return this.mayHoldIn(zone, allowed);
  }

  /** The same for this node. */
  mayHoldHere(allowed: AllowedRegions): boolean {
    return this.mayHold(this.options.self, allowed);
  }

  /** The same for any node of a zone; one whose zone is not told may hold only what is not limited. */
  mayHoldIn(zone: ZoneName | undefined, allowed: AllowedRegions): boolean {
    const region = zone === undefined ? undefined : this.options.topology.regionOf(zone);
    return allowsRegion(allowed, region);
  }

  /** Whether two zones lie in one region. */
  areInOneRegion(left: ZoneName | undefined, right: ZoneName | undefined): boolean {
    const { topology } = this.options;
    if (left === undefined || right === undefined) return left === right;
    return topology.regionOf(left) === topology.regionOf(right);
  }

  /** Which nodes may hold what is allowed in these regions. */
  holderFilter(allowed: AllowedRegions): MayHold {
    return (node) => this.mayHold(node, allowed);
  }

  /** One request for each route: a job has many items and few routes. */
  private requestsByRoute({ host, path, items }: SubmittedRequests): RoutedRequest[] {
    const routes = this.options.routes();
    const byRoute = new Map<Route | undefined, RoutedRequest>();
    const note = (request: RoutedRequest): void => {
      const route = routes?.match(request.host, request.path);
      if (!byRoute.has(route)) byRoute.set(route, { host: request.host, path: request.path });
    };
    note({ host, path });
    for (const item of items) {
      note({ host, path: item.path });
      if (item.scoreRequest !== undefined) note(item.scoreRequest);
    }
    return [...byRoute.values()];
  }

  /** The region of a zone as the only one that is allowed; any where the zone or its region is not known. */
  private regionAlone(zone: ZoneName | undefined): AllowedRegions {
    const region: RegionName | undefined =
      zone === undefined ? undefined : this.options.topology.regionOf(zone);
    return region === undefined ? undefined : [region];
  }
}

/** Jobs may lie anywhere. */
export const UNRESTRICTED_RESIDENCY = new JobResidency({
  topology: topologyWithoutRegions(''),
  self: '',
  zoneOf: () => undefined,
  routes: () => undefined,
});
