/**
 * The operator's configuration: routes, services, limits and tenants; and the records of workers.
 */
import type { ModelName, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { Tenant } from '../tenants/tenant.js';

/** Name of a pool of interchangeable workers. */
export type ServiceName = string;

/**
 * What may be retried on a route. `read-only`: any request; `mutating`: none; `streaming`: only if
 * the route is resumable; `batch`: items of submitted jobs.
 */
export type RouteKind = 'read-only' | 'mutating' | 'streaming' | 'batch';

/** One target of a route and its share of the requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Relative to the weights of the route's other targets. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time for a request, from its arrival. */
  readonly timeout: Milliseconds;
  /** Desired time to the answer. */
  readonly targetLatency: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Workers that one request may be sent to. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  /** Whether callers need no API key on the route. */
  readonly isPublic: boolean;
  /** Whether a broken stream may be resumed at another worker. */
  readonly resumable: boolean;
  /** Whether all events of one result must come from one weight version. */
  readonly singleVersion: boolean;
  /** Time since submission after which an item of a job may be abandoned. */
  readonly maxQueue: Milliseconds;
  /** Time since submission within which the results of a job are due. */
  readonly resultDeadline: Milliseconds;
  /** Regions in which the requests may be served and stored. @default any */
  readonly allowedRegions?: AllowedRegions;
}

export interface Service {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Connections that one worker accepts from all gateways together. */
  readonly maxConnections: number;
  /** Models that its workers load; may be empty. */
  readonly models: readonly ModelName[];
  /** `undefined` where the fleet does not scale the service. */
  readonly scaling: ScalingLimits | undefined;
  /** Limits for its workers after a start. @default none */
  readonly coldStart?: ColdStart | undefined;
}

/** Limits for a cold worker, which after a start and at times later tolerates few requests. */
export interface ColdStart {
  /** Time from the start until the worker is warm. */
  readonly duration: Milliseconds;
  /** Requests per second that a cold worker tolerates, from all gateways together. */
  readonly requestsPerSecond: number;
}

/** Limits for the number of a service's workers in each zone. */
export interface ScalingLimits {
  readonly minimum: number;
  readonly maximum: number;
  /** Time from an order until the new worker serves. */
  readonly bootTime: Milliseconds;
  /** Relative price of a second of a worker, by zone. */
  readonly zonePrices: ReadonlyMap<ZoneName, number>;
}

/** Limits for callers' requests. */
export interface TrafficLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

/** One complete version of the configuration. */
export interface TrafficConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: TrafficLimits;
  /** `undefined` where callers need no keys. */
  readonly tenants: readonly Tenant[] | undefined;
}

/** A model loaded by a worker, and the version of its weights. */
export interface HeldModel {
  readonly name: ModelName;
  readonly version: number;
}

/** The record with which an incarnation of a worker registers. */
export interface WorkerRecord {
  /** Id of the worker; may stay the same after a restart. */
  readonly id: string;
  /** Unix time in milliseconds of the start of this incarnation; `undefined` where not reported. */
  readonly startedAt?: number | undefined;
  readonly service: ServiceName;
  /** IP and port. */
  readonly address: string;
  readonly zone: ZoneName;
  /** Requests that the worker runs at a time. */
  readonly slots: number;
  /** Whether the worker is about to stop and accepts no new work. */
  readonly draining: boolean;
  readonly models: readonly HeldModel[];
  /**
   * How much longer the worker stays cold, as of the writing of this record; `undefined` where not
   * reported.
   */
  readonly coldFor?: Milliseconds | undefined;
}
