/**
 * One zone in simulated time: a weight controller on every node, hollow workers, and a key-value
 * service that may be down or lose answers. Used by tests and by the bench of activations.
 */
import type { Configuration, Intent } from '../../src/config-feed/configuration.js';
import type { ModelName, NodeRecord, WorkerId } from '../../src/core/identity.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { TICK_INTERVAL_MILLISECONDS } from '../../src/node/node-events.js';
import type { KeyValueOperation, KeyValueResult } from '../../src/platform/key-value.js';
import type { WorkerOrder, WorkerOrderResult, WorkerRecord } from '../../src/platform/worker.js';
import {
  WeightController,
  type WeightControllerEffect,
  type WeightControllerOptions,
  type WeightControllerView,
} from '../../src/weights/weight-controller.js';
import type { KeyValueCore } from '../emulator/key-value-core.js';
import type { EventQueue } from '../simulation/event-queue.js';
import { HollowWorker, type HollowWorkerSettings } from './hollow-worker.js';

/** One-way time between two machines of a zone. */
const NETWORK_DELAY: Milliseconds = 1;

/** Time of one key-value request. */
const KEY_VALUE_DELAY: Milliseconds = 5;

/** Shape of a zone. */
export interface WeightsZoneOptions {
  readonly zone: string;
  readonly nodeCount: number;
  readonly models: readonly ModelName[];
  readonly workersPerModel: number;
  readonly seed: number;
  readonly worker: HollowWorkerSettings;
  readonly controller?: Omit<WeightControllerOptions, 'self' | 'random'>;
}

/** An order as it was sent. */
export interface SentOrder {
  readonly at: Milliseconds;
  readonly from: string;
  readonly worker: WorkerId;
  readonly order: WorkerOrder;
}

/** A node that runs a weight controller. */
export interface ZoneNode {
  readonly record: NodeRecord;
  readonly controller: WeightController;
  /** A paused node does nothing, and gets its messages when it goes on. */
  paused: boolean;
  /** What it last knew. */
  view: WeightControllerView | undefined;
  readonly held: (() => void)[];
}

/** A zone in simulated time. */
export class WeightsZone {
  readonly nodes: ZoneNode[];
  readonly workers = new Map<WorkerId, HollowWorker>();
  readonly orders: SentOrder[] = [];
  readonly changes: Extract<WeightControllerEffect, { kind: 'state-change' }>[] = [];
  /** Most loads under way at once. */
  mostLoadsAtOnce = 0;
  polls = 0;
  /** What the key-value service does with the next requests. */
  keyValueMode: 'serving' | 'down' | 'answers-lost' = 'serving';
  private readonly random: RandomSource;
  private configuration: Configuration = emptyConfiguration();
  private liveInZone: readonly NodeRecord[];

  constructor(
    private readonly options: WeightsZoneOptions,
    private readonly queue: EventQueue,
    private readonly keyValue: KeyValueCore,
  ) {
    this.random = createRandomSource(options.seed);
    for (const record of workerRecords(options)) {
      this.workers.set(
        record.worker,
        new HollowWorker(record, options.worker, queue, createRandomSource(this.nextSeed())),
      );
    }
    this.nodes = nodeRecords(options).map((record) => this.createNode(record));
    this.liveInZone = this.nodes.map((node) => node.record);
    for (const node of this.nodes) this.scheduleTick(node, this.random.integer(50));
  }

  /** Makes a version the newest of all models on every node. */
  publish(version: WeightVersion, intents: readonly Intent[] = []): void {
    const versions = Array.from({ length: version }, (_, index) => ({
      version: index + 1,
      digest: `digest-${index + 1}`,
      bytes: 1,
    }));
    this.configuration = {
      ...emptyConfiguration(),
      revision: this.configuration.revision + 1,
      intents: new Map(intents.map((intent) => [intent.name, intent])),
      catalogues: new Map(this.options.models.map((model) => [model, { model, versions }])),
    };
    this.refreshViews();
  }

  /** From now on the running nodes believe that these nodes only are live. */
  setLive(nodes: readonly ZoneNode[]): void {
    this.liveInZone = nodes.map((node) => node.record);
    this.refreshViews();
  }

  private refreshViews(): void {
    const workers = [...this.workers.values()].map((worker) => worker.record);
    const view = {
      configuration: this.configuration,
      configurationFresh: true,
      liveInZone: this.liveInZone,
      workers,
    };
    for (const node of this.nodes) {
      if (!node.paused) this.setView(node, view);
    }
  }

  /** Cuts a node's configuration feed off: it knows that what it holds is no longer fresh. */
  cutOff(node: ZoneNode): void {
    if (node.view !== undefined) this.setView(node, { ...node.view, configurationFresh: false });
  }

  private setView(node: ZoneNode, view: WeightControllerView): void {
    node.view = view;
    this.carry(node, node.controller.update(view, this.queue.now));
  }

  /** The node that controls a model now. */
  controllerOf(model: ModelName): ZoneNode | undefined {
    return this.nodes.find((node) => node.controller.controlledModels().includes(model));
  }

  /** Lets a paused node go on: what arrived meanwhile is delivered now. */
  resume(node: ZoneNode): void {
    node.paused = false;
    for (const deliver of node.held.splice(0)) deliver();
  }

  /** Whether all workers have activated a version. */
  allActive(version: WeightVersion): boolean {
    return [...this.workers.values()].every((worker) => worker.activeVersion === version);
  }

  private createNode(record: NodeRecord): ZoneNode {
    const controller = new WeightController({
      ...this.options.controller,
      self: record,
      random: createRandomSource(this.nextSeed()),
    });
    return { record, controller, paused: false, view: undefined, held: [] };
  }

  private scheduleTick(node: ZoneNode, delay: Milliseconds): void {
    this.queue.after(delay, () => {
      if (!node.paused) this.carry(node, node.controller.tick(this.queue.now));
      this.scheduleTick(node, TICK_INTERVAL_MILLISECONDS);
    });
  }

  private carry(node: ZoneNode, effects: readonly WeightControllerEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'state-change') this.changes.push(effect);
      else if (effect.kind === 'poll') this.poll(node, effect.worker);
      else if (effect.kind === 'key-value') this.ask(node, effect.requestId, effect.operation);
      else this.order(node, effect.orderId, effect.worker, effect.order);
    }
  }

  private deliver(node: ZoneNode, event: () => readonly WeightControllerEffect[]): void {
    this.queue.after(NETWORK_DELAY, () => {
      if (node.paused) node.held.push(() => this.carry(node, event()));
      else this.carry(node, event());
    });
  }

  private poll(node: ZoneNode, worker: WorkerRecord): void {
    this.polls += 1;
    this.queue.after(NETWORK_DELAY, () => {
      const report = this.workers.get(worker.worker)?.report();
      if (report === undefined) return;
      this.deliver(node, () => node.controller.workerReport(report, this.queue.now));
    });
  }

  private order(node: ZoneNode, orderId: string, worker: WorkerRecord, order: WorkerOrder): void {
    const { node: from } = node.record;
    this.orders.push({ at: this.queue.now, from, worker: worker.worker, order });
    this.queue.after(NETWORK_DELAY, () => {
      const answer = (result: WorkerOrderResult): void =>
        this.deliver(node, () => node.controller.orderResult(orderId, result, this.queue.now));
      this.workers.get(worker.worker)?.order(order, answer);
      this.countLoads();
    });
  }

  private ask(node: ZoneNode, requestId: string, operation: KeyValueOperation): void {
    this.queue.after(KEY_VALUE_DELAY, () => {
      const result = this.perform(operation);
      this.deliver(node, () => node.controller.keyValueResult(requestId, result, this.queue.now));
    });
  }

  private perform(operation: KeyValueOperation): KeyValueResult {
    const isWrite = operation.kind === 'transaction';
    const isLost = this.keyValueMode === 'answers-lost' && isWrite;
    if (isLost) this.keyValue.perform(operation);
    if (isLost || this.keyValueMode === 'down') {
      return { kind: 'failed', reason: 'unavailable', mayHaveApplied: isWrite, retryAfter: 0 };
    }
    return this.keyValue.perform(operation);
  }

  private countLoads(): void {
    let loading = 0;
    for (const worker of this.workers.values()) loading += worker.loading;
    this.mostLoadsAtOnce = Math.max(this.mostLoadsAtOnce, loading);
  }

  private nextSeed(): number {
    return this.random.integer(0x7fffffff);
  }
}

function emptyConfiguration(): Configuration {
  return { revision: 1, intents: new Map(), catalogues: new Map(), groups: new Map(), drains: [] };
}

function nodeRecords(options: WeightsZoneOptions): NodeRecord[] {
  return Array.from({ length: options.nodeCount }, (_, index) => ({
    node: `${options.zone}-node-${index}`,
    incarnation: 1,
    zone: options.zone,
    region: 'region',
    address: `127.0.0.1:${7_000 + index}`,
    machine: `${options.zone}-machine-${index}`,
  }));
}

function workerRecords(options: WeightsZoneOptions): WorkerRecord[] {
  return options.models.flatMap((model) =>
    Array.from({ length: options.workersPerModel }, (_, index) => ({
      worker: `${options.zone}-${model}-${index}`,
      model,
      zone: options.zone,
      address: '127.0.0.1:9000',
      slots: 16,
    })),
  );
}
