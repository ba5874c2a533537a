/** The port to workers: requests, streams, orders and reports. An adapter implements it. */
import type { Readable } from 'node:stream';
import type { ModelName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { TenantName } from '../tenants/tenant.js';
import type { HeldModel, WorkerRecord } from './traffic-configuration.js';

/** Header names and values in turn, as they came: spelling and order are kept. */
export type HeaderList = readonly string[];

/** One request on its way to a worker. */
export interface EngineRequest {
  readonly worker: WorkerRecord;
  readonly requestId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Time that is left for the answer; `undefined` where the caller named none. */
  readonly remaining: Milliseconds | undefined;
  /** Rank of the request among those that wait at the worker, 0 the most urgent. */
  readonly priority?: number;
  /** On whose behalf it runs; the worker is told it, and never the key that proved it. */
  readonly tenant?: TenantName;
  /** The answer goes on after this event. */
  readonly lastEventId?: number;
  /**
   * Whether it goes over a connection of its own: those that are kept may all have gone silent, which
   * shows only by answers that do not come.
   */
  readonly wantsNewConnection?: boolean;
  /** Regions whose workers may run it. @default any */
  readonly allowedRegions?: AllowedRegions;
}

/** What a worker tells of its load with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The head of a worker's answer; the body follows on `body`. */
export interface EngineAnswer {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: HeaderList;
  /** Ends cleanly only when the whole body came; emits `error` when it broke off. */
  readonly body: Readable;
  /** Whether the answer is a series of events. */
  readonly isStream: boolean;
  /** Weights at the beginning of the answer, where the worker told them. */
  readonly weightVersion: WeightVersion | undefined;
  /** The worker's signature of its answer. */
  readonly signature: string | undefined;
  readonly load: ReportedLoad | undefined;
  /** Ends the request and never uses its connection again. */
  discard(): void;
}

/** The worker promised that it did not run the request. */
export interface EngineRefusal {
  readonly kind: 'not-run';
  /** `gone`: another worker lives at the address now; `withheld`: it was not sent. */
  readonly reason: 'full' | 'gone' | 'withheld';
  readonly load: ReportedLoad | undefined;
}

/** No usable answer came. */
export interface EngineFailure {
  readonly kind: 'failed';
  /** False only where the worker cannot have seen the request. */
  readonly mayHaveRun: boolean;
  readonly cause: 'refused-connection' | 'broken' | 'wrong-answer' | 'cancelled';
}

/** Outcome of sending one request. */
export type EngineOutcome = EngineAnswer | EngineRefusal | EngineFailure;

/** What becomes of runs at a worker whose weights change: they end first, are cut, or go on. */
export type WeightOrderMode = 'wait' | 'cut' | 'keep';

/** An order to change the weights of one model. */
export interface WeightOrder {
  readonly worker: WorkerRecord;
  readonly model: ModelName;
  readonly version: WeightVersion;
  readonly mode: WeightOrderMode;
  readonly holder: string;
  readonly fencingToken: number;
  /** Orders that the worker had taken when the order was decided. */
  readonly expectedSequence: number;
}

/** Outcome of an order. */
export type OrderOutcome =
  | 'started'
  | 'holds'
  | 'conflict'
  | 'fenced'
  | 'gone'
  | 'refused'
  /** It may be carried out, now or later. */
  | 'unknown';

/** A worker's own report of its state. */
export interface EngineReport {
  /** Unix time in milliseconds of the start of this life; `undefined` where it is not told. */
  readonly startedAt?: number | undefined;
  readonly models: readonly HeldModel[];
  /** Whether an order is under way. */
  readonly busy: boolean;
  /** Orders taken in this life. */
  readonly sequence: number;
  readonly waiting: number;
  readonly running: number;
}

/**
 * Whether a life of a worker goes on. `ended`: nobody listens at its address, or another life does;
 * `unknown`: it does not answer in time.
 */
export type WorkerLiveness = 'lives' | 'ended' | 'unknown';

/** Workers as the product sees them. No method rejects. */
export interface EnginePort {
  /** Sends a request; aborting the signal ends it and closes its connection. */
  send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome>;
  order(order: WeightOrder): Promise<OrderOutcome>;
  report(worker: WorkerRecord): Promise<EngineReport | undefined>;
  /** Asks over a new connection, by the path at which its service tells its health. */
  probeLiveness(worker: WorkerRecord, healthPath: string): Promise<WorkerLiveness>;
  /**
   * Has a worker tell how much longer it stays cold, 0 where it is warm; `undefined` where it does not
   * tell, or another life answers.
   */
  probeColdTime(worker: WorkerRecord, healthPath: string): Promise<Milliseconds | undefined>;
  /** Closes the connections to a worker that has left. */
  forget(worker: string): void;
}
