/**
 * What the simulation needs of the parts it drives. The emulators' cores and `NodeCore` satisfy
 * these shapes; tests of the harness put small stand-ins in their place.
 */
import type { GenerationRequest } from '../../src/core/generation.js';
import type { NodeRecord, WorkerId } from '../../src/core/identity.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, Revision, WeightVersion } from '../../src/core/units.js';
import type { NodeEffect, NodeEvent } from '../../src/node/node-events.js';
import type {
  KeyValueOperation,
  KeyValueResult,
  KeyValueWatchEvent,
} from '../../src/platform/key-value.js';
import type {
  EngineEvent,
  WorkerOrder,
  WorkerOrderResult,
  WorkerRecord,
  WorkerReport,
} from '../../src/platform/worker.js';
import type { FleetPlan } from './fleet-plan.js';

/** The decisions of one life of one node. */
export interface NodeLogic {
  handle(event: NodeEvent, now: Milliseconds): readonly NodeEffect[];
}

/** Makes the decisions of a new life of a node. */
export type NodeFactory = (
  self: NodeRecord,
  plan: FleetPlan,
  random: RandomSource,
) => NodeLogic;

/** The contents of the key-value service. */
export interface KeyValueStore {
  perform(operation: KeyValueOperation): KeyValueResult;
  changesSince(prefix: string, fromRevision: Revision): KeyValueWatchEvent;
  compact(revision: Revision): void;
}

/** What an engine gives out when it is advanced. */
export type EngineOutput =
  | { readonly kind: 'event'; readonly dispatchId: string; readonly event: EngineEvent }
  | { readonly kind: 'order'; readonly orderId: string; readonly result: WorkerOrderResult };

/** One model engine. */
export interface Engine {
  start(dispatchId: string, request: GenerationRequest, now: Milliseconds): 'accepted' | 'refused';
  cancel(dispatchId: string, now: Milliseconds): void;
  order(orderId: string, order: WorkerOrder, now: Milliseconds): void;
  advance(now: Milliseconds): readonly EngineOutput[];
  nextEventAt(): Milliseconds | undefined;
  report(now: Milliseconds): WorkerReport;
  crash(now: Milliseconds): void;
  restart(now: Milliseconds): void;
  setLeaving(leaving: boolean): void;
  /** The next so many loads of weights fail. */
  failNextSwaps(count: number): void;
}

/** Makes an engine that starts with one version active. */
export type EngineFactory = (
  worker: WorkerRecord,
  startVersion: WeightVersion,
  random: RandomSource,
) => Engine;

/** The text of one token; pure, so that an oracle can tell whose answer it sees. */
export type TokenText = (
  prompt: string,
  samplingSeed: number,
  version: WeightVersion,
  tokenIndex: number,
) => string;

/** The parts a simulation is made of. */
export interface SimulationParts {
  readonly createNode: NodeFactory;
  readonly createStore: () => KeyValueStore;
  readonly createEngine: EngineFactory;
}

/** Names of the workers, for error messages of the harness. */
export type WorkerNames = readonly WorkerId[];
