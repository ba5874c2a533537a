/**
 * The operator's configuration that a node applies: routes, identification of callers, and limits.
 * It never goes back to an older version.
 */
import type { RegionName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { CallerIdentity } from '../tenants/tenant.js';
import { RouteMatcher } from './route-matcher.js';
import type {
  Route,
  Service,
  ServiceName,
  TrafficConfiguration,
  TrafficLimits,
} from './traffic-configuration.js';

/** Retry hint of a node without a current configuration: a few polls of the store. */
export const CONFIGURATION_RETRY_AFTER: Milliseconds = 300;

const NO_CONFIGURATION = failure('configuration_unavailable', 'no configuration is known yet', {
  retryAfter: CONFIGURATION_RETRY_AFTER,
});

export interface ActiveConfigurationOptions {
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  /** Whether the settings name a region. @default all regions are known */
  readonly isRegionKnown?: (region: RegionName) => boolean;
}

export class ActiveConfiguration {
  private matcher: RouteMatcher | undefined;

  constructor(private readonly options: ActiveConfigurationOptions) {}

  /** Applies a configuration; returns false if the same or a newer version is active. */
  apply(configuration: TrafficConfiguration): boolean {
    const current = this.version;
    if (current !== undefined && configuration.version <= current) return false;
    this.matcher = new RouteMatcher(configuration);
    this.options.log.state('configuration-applied', {
      version: configuration.version,
      previous: current ?? 0,
      routes: configuration.routes.length,
      tenants: configuration.tenants?.length ?? 0,
    });
    this.noteUnknownRegions(configuration);
    return true;
  }

  /** Logs regions without a zone: they allow nothing, and may be misspelled. */
  private noteUnknownRegions({ version, routes, tenants = [] }: TrafficConfiguration): void {
    const { log, isRegionKnown = () => true } = this.options;
    const limited = [
      ...routes.map(({ name, allowedRegions }) => ({ limits: `route ${name}`, allowedRegions })),
      ...tenants.map(({ name, allowedRegions }) => ({ limits: `tenant ${name}`, allowedRegions })),
    ];
    for (const { limits, allowedRegions = [] } of limited) {
      for (const region of allowedRegions.filter((name) => !isRegionKnown(name))) {
        const reason = 'no zone in the settings is in this region, so the limit allows no worker';
        log.state('region-unknown', { limits, region, reason, version });
      }
    }
  }

  /** `undefined` before the first configuration. */
  get routes(): RouteMatcher | undefined {
    return this.matcher;
  }

  /** `undefined` before the first configuration. */
  get version(): number | undefined {
    return this.matcher?.configuration.version;
  }

  /** Limits on callers' requests; `undefined` before the first configuration. */
  get limits(): TrafficLimits | undefined {
    return this.matcher?.configuration.limits;
  }

  get services(): readonly Service[] {
    return this.matcher?.configuration.services ?? [];
  }

  /** Whether some route requires that each result comes from a single weight version. */
  get requiresSingleVersion(): boolean {
    return this.matcher?.configuration.routes.some((route) => route.singleVersion) ?? false;
  }

  /** The route of a request, or the failure `not_found` or `configuration_unavailable`. */
  route(host: string, path: string): Route | Failure {
    if (this.matcher === undefined) return NO_CONFIGURATION;
    return this.matcher.match(host, path) ?? failure('not_found', 'no route matches');
  }

  /** The service for the next request of a route. */
  nextService(route: Route): ServiceName | undefined {
    return this.matcher?.nextService(route);
  }

  /** The caller of a request on a route, or the failure with which the request is rejected. */
  identify(key: string | undefined, route: Route): CallerIdentity | Failure {
    if (this.matcher === undefined) return NO_CONFIGURATION;
    return this.countIdentified(this.matcher.tenants.identify(key, route.isPublic));
  }

  /** The caller of a request about a job, which matches no route, or the failure. */
  identifyJobCaller(key: string | undefined, host: string): CallerIdentity | Failure {
    const { matcher } = this;
    if (matcher === undefined) return NO_CONFIGURATION;
    return this.countIdentified(matcher.tenants.identify(key, matcher.hasPublicBatchRoute(host)));
  }

  private countIdentified(caller: CallerIdentity | Failure): CallerIdentity | Failure {
    if ('detail' in caller) {
      this.options.metrics.count('requests', { kind: 'unidentified', outcome: caller.kind });
    }
    return caller;
  }
}
