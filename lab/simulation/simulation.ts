/**
 * A whole deployment in one process and simulated time: many nodes with their real decisions, the
 * network, the platform's services, and clients. One seed fixes everything that happens.
 */
import {
  catalogueKey,
  type Intent,
  intentKey,
  type ModelCatalogue,
} from '../../src/config-feed/configuration.js';
import type { ModelName, NodeId, WorkerId, ZoneName } from '../../src/core/identity.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { NodeEffect } from '../../src/node/node-events.js';
import { EngineCore } from '../emulator/engine-core.js';
import { DEFAULT_ENGINE_SETTINGS, type EngineSettings } from '../emulator/engine-settings.js';
import { KeyValueCore } from '../emulator/key-value-core.js';
import { SimulatedCalls } from './calls.js';
import { EffectRunner } from './effect-runner.js';
import { EventQueue } from './event-queue.js';
import type { FleetPlan } from './fleet-plan.js';
import { SimulatedNetwork } from './network.js';
import { NodeClock } from './node-clock.js';
import type { ObservationBody, Observer } from './observation.js';
import type { NodeFactory } from './ports.js';
import { encodeRecord } from './record-encoding.js';
import { SimulatedEngine } from './simulated-engine.js';
import { SimulatedKeyValue } from './simulated-key-value.js';
import { SimulatedMachineList } from './simulated-machine-list.js';
import { SimulatedNode } from './simulated-node.js';

/** Engines of a simulation. */
export const SIMULATED_ENGINE_SETTINGS = {
  ...DEFAULT_ENGINE_SETTINGS,
  lengthSpread: 0.8,
  loadTime: 400,
};

/** Tokens between two segments of a short answer. */
const SMALLEST_CHUNK = 4;

/** Segments of a median answer, where answers are long. */
const CHUNKS_PER_ANSWER = 10;

/** Largest value a node's clock starts at. */
const CLOCK_START_LIMIT: Milliseconds = 1_000_000;

/** Largest drift of a node's clock in either direction. */
const CLOCK_DRIFT = 1e-4;

/** What a simulation is made of. */
export interface SimulationOptions {
  readonly seed: number;
  readonly plan: FleetPlan;
  readonly createNode: NodeFactory;
  /** Whether messages between nodes are observed, which costs time. */
  readonly observeMessages: boolean;
  /** Settings of all engines that differ from the simulator's own. @default none */
  readonly engineSettings?: Partial<EngineSettings>;
}

/** One run. */
export class Simulation {
  readonly plan: FleetPlan;
  readonly queue = new EventQueue();
  readonly random: RandomSource;
  readonly network: SimulatedNetwork;
  readonly keyValue: SimulatedKeyValue;
  readonly machineList: SimulatedMachineList;
  readonly calls: SimulatedCalls;
  readonly nodes: ReadonlyMap<NodeId, SimulatedNode>;
  readonly engines: ReadonlyMap<WorkerId, SimulatedEngine>;
  readonly #nodesByAddress: ReadonlyMap<string, SimulatedNode>;
  readonly #options: SimulationOptions;
  readonly #observers: Observer[] = [];
  readonly #effects: EffectRunner;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.plan = options.plan;
    this.random = createRandomSource(options.seed);
    this.network = new SimulatedNetwork(this.queue, this.random, options.plan.latency);
    const observe = (body: ObservationBody): void => this.observe(body);
    this.keyValue = new SimulatedKeyValue(
      this.queue,
      this.network,
      this.random,
      new KeyValueCore(),
      ({ key, value, modRevision: revision }) =>
        observe({ kind: 'key-value-changed', key, value, revision }),
    );
    this.machineList = new SimulatedMachineList(options.plan);
    this.calls = new SimulatedCalls(this.queue, this.network, observe);
    this.engines = this.#createEngines(observe);
    this.#effects = new EffectRunner(this, options.observeMessages);
    this.nodes = this.#createNodes();
    this.#nodesByAddress = new Map(
      [...this.nodes.values()].map((node) => [node.plan.address, node]),
    );
  }

  /** Adds an onlooker. */
  addObserver(observer: Observer): void {
    this.#observers.push(observer);
  }

  /** Shows something to all onlookers. */
  observe(body: ObservationBody): void {
    const observation = { at: this.queue.now, ...body };
    for (const observer of this.#observers) observer(observation);
  }

  /** Writes the first configuration and starts all nodes. */
  start(): void {
    for (const intent of this.plan.intents) this.#putIntent(intent);
    for (const model of this.plan.models) this.#putCatalogue(model, this.plan.firstVersion);
    for (const node of this.nodes.values()) this.startNode(node);
  }

  /** Lets simulated time pass. */
  advance(duration: Milliseconds): void {
    this.queue.runUntil(this.queue.now + duration);
  }

  /** Starts a node that is down. */
  startNode(node: SimulatedNode): void {
    if (node.state !== 'down') return;
    node.start();
    const { node: name, zone } = node.plan;
    this.observe({ kind: 'node-started', node: name, zone, incarnation: node.life });
  }

  /** Ends a node's process at once, or lets it exit after a planned stop. */
  endNode(node: SimulatedNode, planned: boolean): void {
    if (node.state === 'down') return;
    node.end();
    this.observe({ kind: 'node-ended', node: node.plan.node, planned });
    this.calls.breakConnections(node.plan.node);
  }

  /** Asks a node's process to stop, as SIGTERM does. */
  stopNode(node: SimulatedNode): void {
    if (node.state !== 'running') return;
    this.observe({ kind: 'node-stop-asked', node: node.plan.node });
    node.deliver({ kind: 'stop' });
  }

  /** The node with a position in the plan; positions wrap around. */
  nodeAt(position: number): SimulatedNode {
    return this.#required(this.plan.nodes[position % this.plan.nodes.length]?.node, this.nodes);
  }

  /** The engine with a position in the plan; positions wrap around. */
  engineAt(position: number): SimulatedEngine {
    const worker = this.plan.workers[position % this.plan.workers.length]?.worker;
    return this.#required(worker, this.engines);
  }

  /** The zone with a position in the plan; positions wrap around. */
  zoneAt(position: number): ZoneName {
    return this.plan.zones[position % this.plan.zones.length]?.name ?? '';
  }

  /** The node that listens at an address. */
  nodeByAddress(address: string): SimulatedNode | undefined {
    return this.#nodesByAddress.get(address);
  }

  #required<Item>(name: string | undefined, items: ReadonlyMap<string, Item>): Item {
    const item = name === undefined ? undefined : items.get(name);
    if (item === undefined) throw new RangeError(`the plan has no "${name}"`);
    return item;
  }

  #createEngines(observe: (body: ObservationBody) => void): Map<WorkerId, SimulatedEngine> {
    const entries = this.plan.workers.map((worker): [WorkerId, SimulatedEngine] => {
      const settings = {
        ...SIMULATED_ENGINE_SETTINGS,
        worker: worker.worker,
        slots: worker.slots,
        medianTokens: this.plan.medianTokens,
        chunkTokens: Math.max(
          SMALLEST_CHUNK,
          Math.round(this.plan.medianTokens / CHUNKS_PER_ANSWER),
        ),
        initialVersion: this.plan.firstVersion,
        ...this.#options.engineSettings,
      };
      const engine = new EngineCore(settings, this.#fork());
      const { queue, network } = this;
      return [worker.worker, new SimulatedEngine({ worker, engine, queue, network, observe })];
    });
    return new Map(entries);
  }

  #createNodes(): Map<NodeId, SimulatedNode> {
    const entries = this.plan.nodes.map((plan): [NodeId, SimulatedNode] => {
      const region = this.plan.zones.find((zone) => zone.name === plan.zone)?.region ?? '';
      const node = new SimulatedNode({
        plan,
        region,
        queue: this.queue,
        createLogic: (record) => this.#options.createNode(record, this.plan, this.#fork()),
        createClock: () => this.#createClock(),
        execute: (owner: SimulatedNode, life: number, effect: NodeEffect) =>
          this.#effects.execute(owner, life, effect),
      });
      return [plan.node, node];
    });
    return new Map(entries);
  }

  #createClock(): NodeClock {
    const rate = 1 + CLOCK_DRIFT * (2 * this.random.fraction() - 1);
    return new NodeClock(this.queue.now, this.random.integer(CLOCK_START_LIMIT), rate);
  }

  #fork(): RandomSource {
    return createRandomSource(this.random.integer(0x7fffffff));
  }

  #putIntent(intent: Intent): void {
    this.#put(intentKey(intent.name), encodeRecord(intent));
  }

  #putCatalogue(model: ModelName, version: WeightVersion): void {
    const catalogue: ModelCatalogue = {
      model,
      versions: [{ version, digest: `digest-${model}-${version}`, bytes: 1_000 }],
    };
    this.#put(catalogueKey(model), encodeRecord(catalogue));
  }

  #put(key: string, value: string): void {
    this.keyValue.performDirectly({
      kind: 'transaction',
      compares: [],
      writes: [{ kind: 'put', key, value }],
    });
  }
}
