/**
 * Publishes weight versions and brings them to the engines of a deployment by the weight
 * controllers' own code, one controlling node in each zone.
 */
import type { Configuration } from '../../src/config-feed/configuration.js';
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { TICK_INTERVAL_MILLISECONDS } from '../../src/node/node-events.js';
import type { WorkerOrderResult } from '../../src/platform/worker.js';
import type { ConfigurationView } from '../../src/weights/staleness-bound.js';
import {
  WeightController,
  type WeightControllerEffect,
} from '../../src/weights/weight-controller.js';
import { KeyValueCore } from '../emulator/key-value-core.js';
import type { EventQueue } from '../simulation/event-queue.js';
import type { EngineHost } from './engine-host.js';

/** Time until a published version is known on all nodes. */
const FEED_DELAY: Milliseconds = 500;

/** One-way time between a controller and an engine. */
const ORDER_DELAY: Milliseconds = 1;

/** Versions, when they were published, and their rollout. */
export class DeploymentWeights {
  newest: WeightVersion = 0;
  private readonly publishedAt: Milliseconds[] = [];
  private readonly keyValue = new KeyValueCore();
  private readonly controllers: ZoneController[];
  private configuration: Configuration = {
    revision: 1,
    intents: new Map(),
    catalogues: new Map(),
    groups: new Map(),
    drains: [],
  };

  constructor(
    private readonly model: string,
    zones: readonly string[],
    hosts: readonly EngineHost[],
    private readonly queue: EventQueue,
    seed: number,
  ) {
    this.controllers = zones.map((zone, index) => {
      const local = hosts.filter((host) => host.record.zone === zone);
      return new ZoneController(zone, local, queue, this.keyValue, seed + index);
    });
    this.publish();
  }

  /** Publishes the next version. */
  publish(): void {
    this.newest += 1;
    this.publishedAt.push(this.queue.now);
    const versions = this.publishedAt.map((_, index) => ({
      version: index + 1,
      digest: `${index + 1}`,
      bytes: 1,
    }));
    const { model } = this;
    const catalogues = new Map([[model, { model, versions }]]);
    const revision = this.configuration.revision + 1;
    this.configuration = { ...this.configuration, revision, catalogues };
    const { configuration } = this;
    this.queue.after(FEED_DELAY, () => {
      for (const controller of this.controllers) controller.update(configuration);
    });
  }

  /** What the hand-over check sees. */
  view(): ConfigurationView {
    return { configuration: this.configuration, configurationFresh: true };
  }

  /** When a version was published. */
  publishedAtOf(version: WeightVersion): Milliseconds {
    return this.publishedAt[version - 1] ?? 0;
  }

  /** Gives a controller the result of an order. */
  orderResult(zone: string, orderId: string, result: WorkerOrderResult): void {
    this.controllers.find((controller) => controller.zone === zone)?.orderResult(orderId, result);
  }
}

/** The controlling node of one zone. */
class ZoneController {
  private readonly controller: WeightController;
  private readonly hostOf: ReadonlyMap<string, EngineHost>;
  private readonly node;

  constructor(
    readonly zone: string,
    hosts: readonly EngineHost[],
    private readonly queue: EventQueue,
    private readonly keyValue: KeyValueCore,
    seed: number,
  ) {
    this.hostOf = new Map(hosts.map((host) => [host.record.worker, host]));
    this.node = {
      node: `${zone}-1`,
      incarnation: 1,
      zone,
      region: 'region',
      address: '127.0.0.1:7001',
      machine: `${zone}-1`,
    };
    this.controller = new WeightController({ self: this.node, random: createRandomSource(seed) });
    this.tick();
  }

  update(configuration: Configuration): void {
    const workers = [...this.hostOf.values()].map((host) => host.record);
    const view = { configuration, configurationFresh: true, liveInZone: [this.node], workers };
    this.carry(this.controller.update(view, this.queue.now));
  }

  orderResult(orderId: string, result: WorkerOrderResult): void {
    this.queue.after(ORDER_DELAY, () =>
      this.carry(this.controller.orderResult(orderId, result, this.queue.now)),
    );
  }

  private tick(): void {
    this.carry(this.controller.tick(this.queue.now));
    this.queue.after(TICK_INTERVAL_MILLISECONDS, () => this.tick());
  }

  private carry(effects: readonly WeightControllerEffect[]): void {
    for (const effect of effects) this.carryOne(effect);
  }

  private carryOne(effect: WeightControllerEffect): void {
    const { queue, controller } = this;
    if (effect.kind === 'worker-order') {
      const host = this.hostOf.get(effect.worker.worker);
      queue.after(ORDER_DELAY, () => host?.order(effect.orderId, effect.order));
    } else if (effect.kind === 'poll') {
      const report = this.hostOf.get(effect.worker.worker)?.report();
      if (report !== undefined) this.carry(controller.workerReport(report, queue.now));
    } else if (effect.kind === 'key-value') {
      const result = this.keyValue.perform(effect.operation);
      queue.after(ORDER_DELAY, () =>
        this.carry(controller.keyValueResult(effect.requestId, result, queue.now)),
      );
    }
  }
}
