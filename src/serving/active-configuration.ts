/**
 * The operator's configuration that a node acts on: which route a request takes, on whose behalf it
 * comes, and what callers may send. It never goes back to an older version.
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

/** When to come back to a node that has no configuration yet: some looks at the store later. */
const CONFIGURATION_RETRY_AFTER: Milliseconds = 300;

const NO_CONFIGURATION = failure('configuration_unavailable', 'no configuration is known yet', {
  retryAfter: CONFIGURATION_RETRY_AFTER,
});

/** Options of {@link ActiveConfiguration}. */
export interface ActiveConfigurationOptions {
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  /** Whether the settings know a region. @default they know any */
  readonly isRegionKnown?: (region: RegionName) => boolean;
}

/** Holds the newest configuration. */
export class ActiveConfiguration {
  private matcher: RouteMatcher | undefined;

  constructor(private readonly options: ActiveConfigurationOptions) {}

  /** Takes a configuration into force, unless a newer one is; tells whether it did. */
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

  /** A region that no zone lies in allows nothing; its name may be a slip. */
  private noteUnknownRegions({ version, routes, tenants = [] }: TrafficConfiguration): void {
    const { log, isRegionKnown = () => true } = this.options;
    const limited = [
      ...routes.map(({ name, allowedRegions }) => ({ limits: `route ${name}`, allowedRegions })),
      ...tenants.map(({ name, allowedRegions }) => ({ limits: `tenant ${name}`, allowedRegions })),
    ];
    for (const { limits, allowedRegions = [] } of limited) {
      for (const region of allowedRegions.filter((name) => !isRegionKnown(name))) {
        const reason = 'no zone of the settings lies in this region: it allows nothing';
        log.state('region-unknown', { limits, region, reason, version });
      }
    }
  }

  /** Routes, ready to be matched; `undefined` before the first configuration. */
  get routes(): RouteMatcher | undefined {
    return this.matcher;
  }

  /** `undefined` before the first configuration. */
  get version(): number | undefined {
    return this.matcher?.configuration.version;
  }

  /** What callers may send; `undefined` before the first configuration. */
  get limits(): TrafficLimits | undefined {
    return this.matcher?.configuration.limits;
  }

  /** All services. */
  get services(): readonly Service[] {
    return this.matcher?.configuration.services ?? [];
  }

  /** Whether results of some route must come from one weight version each. */
  get requiresSingleVersion(): boolean {
    return this.matcher?.configuration.routes.some((route) => route.singleVersion) ?? false;
  }

  /** Finds the route of a request, or why there is none. */
  route(host: string, path: string): Route | Failure {
    if (this.matcher === undefined) return NO_CONFIGURATION;
    return this.matcher.match(host, path) ?? failure('not_found', 'no route matches');
  }

  /** The service that the next request of a route goes to. */
  nextService(route: Route): ServiceName | undefined {
    return this.matcher?.nextService(route);
  }

  /** On whose behalf a request on a route comes, or why it is refused. */
  identify(key: string | undefined, route: Route, requestId: string): CallerIdentity | Failure {
    if (this.matcher === undefined) return NO_CONFIGURATION;
    const caller = this.matcher.tenants.identify(key, route.isPublic);
    return this.noteIdentified(caller, requestId, route.name);
  }

  /** On whose behalf a call about a job comes, which names no route, or why it is refused. */
  identifyJobCaller(
    key: string | undefined,
    host: string,
    requestId: string,
  ): CallerIdentity | Failure {
    const { matcher } = this;
    if (matcher === undefined) return NO_CONFIGURATION;
    const caller = matcher.tenants.identify(key, matcher.hasPublicBatchRoute(host));
    return this.noteIdentified(caller, requestId, 'jobs');
  }

  /** A refusal names the key by its fingerprint only. */
  private noteIdentified(
    caller: CallerIdentity | Failure,
    request: string,
    route: string,
  ): CallerIdentity | Failure {
    if (!('detail' in caller)) return caller;
    const { kind, detail } = caller;
    this.options.metrics.count('requests', { kind: 'unidentified', outcome: kind });
    const details = { request, route, detail, version: this.version ?? 0 };
    this.options.log.decision('request-unauthenticated', details);
    return caller;
  }
}
