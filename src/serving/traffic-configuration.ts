/**
 * The operator's configuration of routed traffic: which route leads to which service, how long a
 * request may take, and what clients may send.
 */
import type { ModelName, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { Tenant } from '../tenants/tenant.js';

/** Name of a pool of workers that serve the same thing. */
export type ServiceName = string;

/**
 * What may be repeated on a route. `read-only`: anything; `mutating`: nothing; `streaming`:
 * nothing unless the route is resumable; `batch`: items of submitted jobs.
 */
export type RouteKind = 'read-only' | 'mutating' | 'streaming' | 'batch';

/** One destination of a route and its share of the requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Relative to the weights of the route's other targets. */
  readonly weight: number;
}

/** One route. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest that a request may be held. */
  readonly timeout: Milliseconds;
  /** Time within which an answer is wanted. */
  readonly targetLatency: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Workers that one request may be sent to. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  /** Whether callers need no API key on it. */
  readonly isPublic: boolean;
  /** Whether a stream may be taken up at another worker. */
  readonly resumable: boolean;
  /** Whether all events of one result must come from one weight version. */
  readonly singleVersion: boolean;
  /** After this time since its submission an item of a job may be given up. */
  readonly maxQueue: Milliseconds;
  /** Results of a job are due this long after its submission. */
  readonly resultDeadline: Milliseconds;
  /** Where its requests may be served and kept. @default anywhere */
  readonly allowedRegions?: AllowedRegions;
}

/** One service. */
export interface Service {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Connections that one worker takes from all callers together. */
  readonly maxConnections: number;
  /** Models that its workers hold; empty where they hold none. */
  readonly models: readonly ModelName[];
  /** `undefined` where the number of its workers is not ours to choose. */
  readonly scaling: ScalingLimits | undefined;
  /** What its workers bear after a start. @default as much as at any time */
  readonly coldStart?: ColdStart | undefined;
}

/** A worker is cold after it has started, and at times later: it bears few requests until it is warm. */
export interface ColdStart {
  /** Time from a start until the worker is warm. */
  readonly duration: Milliseconds;
  /** Requests a second that a cold worker bears, from all callers together. */
  readonly requestsPerSecond: number;
}

/** Within which limits the number of a service's workers may be chosen, in each zone by itself. */
export interface ScalingLimits {
  readonly minimum: number;
  readonly maximum: number;
  /** Time from an order until a new worker serves. */
  readonly bootTime: Milliseconds;
  /** Price of a second of a worker in each zone, against one another. */
  readonly zonePrices: ReadonlyMap<ZoneName, number>;
}

/** What clients may send. */
export interface TrafficLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

/** One version of the configuration, whole. */
export interface TrafficConfiguration {
  /** Only ever rises. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: TrafficLimits;
  /** `undefined` where callers need no keys. */
  readonly tenants: readonly Tenant[] | undefined;
}

/** One model that a worker holds, and at which weights. */
export interface HeldModel {
  readonly name: ModelName;
  readonly version: number;
}

/** One life of a worker, as it registered itself. */
export interface WorkerRecord {
  /** Names the worker; one that starts again may keep it. */
  readonly id: string;
  /** Unix time in milliseconds of the start of this life; `undefined` where it is not told. */
  readonly startedAt?: number | undefined;
  readonly service: ServiceName;
  /** IP and port. */
  readonly address: string;
  readonly zone: ZoneName;
  /** Requests it works on at once. */
  readonly slots: number;
  /** Whether it is about to leave and wants no new work. */
  readonly draining: boolean;
  readonly models: readonly HeldModel[];
  /** Time for which it stays cold, as of the writing of this record; `undefined` where it is not told. */
  readonly coldFor?: Milliseconds | undefined;
}
