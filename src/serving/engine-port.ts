/** The port to workers: requests, streams, weight orders, reports and probes. */
import type { Readable } from 'node:stream';
import type { ModelName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { TenantName } from '../tenants/tenant.js';
import type { HeldModel, WorkerRecord } from './traffic-configuration.js';

/** Alternating header names and values, with spelling and order unchanged. */
export type HeaderList = readonly string[];

/** One request to a worker. */
export interface EngineRequest {
  readonly worker: WorkerRecord;
  readonly requestId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Time left for the answer; `undefined` where the caller sent no limit. */
  readonly remaining: Milliseconds | undefined;
  /** Priority in the worker's queue, 0 the most urgent. */
  readonly priority?: number;
  /** Name of the caller's tenant; sent to the worker, unlike the API key. */
  readonly tenant?: TenantName;
  /** The stream resumes after this event. */
  readonly lastEventId?: number;
  /**
   * Whether to open a new connection: pooled keep-alive connections may all be dead, which shows
   * only by missing answers.
   */
  readonly wantsNewConnection?: boolean;
  /** Regions whose workers may run the request. @default any */
  readonly allowedRegions?: AllowedRegions;
}

/** Load that a worker reports with an answer, in requests. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The head of a worker's answer; the body is read from `body`. */
export interface EngineAnswer {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: HeaderList;
  /** Emits `end` only after the whole body, else `error`. */
  readonly body: Readable;
  /** Length of the body in bytes, where the worker announced it. */
  readonly bodyLength?: number | undefined;
  /** Whether the answer is a stream of server-sent events. */
  readonly isStream: boolean;
  /** Weight version at the start of the answer, where the worker reported it. */
  readonly weightVersion: WeightVersion | undefined;
  /** The worker's signature of its answer. */
  readonly signature: string | undefined;
  readonly load: ReportedLoad | undefined;
  /** Cancels the request and closes its connection. */
  discard(): void;
}

/** The request certainly did not run. */
export interface EngineRefusal {
  readonly kind: 'not-run';
  /** `gone`: the address now belongs to another worker; `withheld`: the request was not sent. */
  readonly reason: 'full' | 'gone' | 'withheld';
  readonly load: ReportedLoad | undefined;
}

/**
 * Why there is no usable answer. `local`: this machine lacks a descriptor, memory or a port, which says
 * nothing about the worker.
 */
export type EngineFailureCause =
  | 'refused-connection'
  | 'broken'
  | 'wrong-answer'
  | 'cancelled'
  | 'local';

/** No usable answer. */
export interface EngineFailure {
  readonly kind: 'failed';
  /** False only where the worker cannot have seen the request. */
  readonly mayHaveRun: boolean;
  readonly cause: EngineFailureCause;
}

/** Outcome of sending one request. */
export type EngineOutcome = EngineAnswer | EngineRefusal | EngineFailure;

/**
 * Handling of runs on a worker whose weights change: wait for them, cancel them, or let them go on.
 */
export type WeightOrderMode = 'wait' | 'cut' | 'keep';

/** An order to change the weights of one model. */
export interface WeightOrder {
  readonly worker: WorkerRecord;
  readonly model: ModelName;
  readonly version: WeightVersion;
  readonly mode: WeightOrderMode;
  readonly holder: string;
  readonly fencingToken: number;
  /** Orders that the worker had accepted when this order was decided. */
  readonly expectedSequence: number;
}

/**
 * Answer of a worker to an order:
 * - `started`: the worker carries out the order.
 * - `holds`: the worker already has the version.
 * - `conflict`: the worker is busy with an order, or its sequence is not the expected one.
 * - `fenced`: the worker has seen a higher fencing token.
 * - `gone`: another incarnation of the worker listens at the address.
 * - `refused`: the order is invalid or was not sent.
 * - `unknown`: the worker may carry out the order, now or later.
 */
export type OrderOutcome =
  | 'started'
  | 'holds'
  | 'conflict'
  | 'fenced'
  | 'gone'
  | 'refused'
  | 'unknown';

/** A worker's own report of its state. */
export interface EngineReport {
  /** Unix time in milliseconds of the worker's start; `undefined` where it does not report that. */
  readonly startedAt?: number | undefined;
  readonly models: readonly HeldModel[];
  /** Whether the worker is carrying out an order. */
  readonly busy: boolean;
  /** Orders accepted since the start. */
  readonly sequence: number;
  readonly waiting: number;
  readonly running: number;
}

/**
 * Whether an incarnation of a worker is up. `ended`: nothing or another incarnation listens at its
 * address; `unknown`: no answer in time; `unchecked`: this machine could not ask.
 */
export type WorkerLiveness = 'lives' | 'ended' | 'unknown' | 'unchecked';

/** Requests to workers. No method rejects. */
export interface EnginePort {
  /** Sends a request; aborting the signal cancels it and closes its connection. */
  send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome>;
  order(order: WeightOrder): Promise<OrderOutcome>;
  report(worker: WorkerRecord): Promise<EngineReport | undefined>;
  /** Probes the health path of the worker's service over a new connection. */
  probeLiveness(worker: WorkerRecord, healthPath: string): Promise<WorkerLiveness>;
  /**
   * How much longer the worker stays cold, 0 where it is warm; `undefined` where it does not report
   * that or another incarnation answers.
   */
  probeColdTime(worker: WorkerRecord, healthPath: string): Promise<Milliseconds | undefined>;
  /** Closes the connections to a removed worker. */
  forget(worker: string): void;
}
