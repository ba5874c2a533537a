/**
 * Carries out the effects of simulated nodes: messages, key-value requests and watches, engine
 * work and orders, replies to callers.
 */
import type { NodeRecord, WorkerId } from '../../src/core/identity.js';
import type { NodeEffect } from '../../src/node/node-events.js';
import type { SimulatedEngine } from './simulated-engine.js';
import type { ServiceClient } from './simulated-key-value.js';
import { PLATFORM_ZONE } from './simulated-key-value.js';
import type { SimulatedNode } from './simulated-node.js';
import type { Simulation } from './simulation.js';

type EffectOf<Kind extends NodeEffect['kind']> = Extract<NodeEffect, { readonly kind: Kind }>;

/** The effects' way into a simulation. */
export class EffectRunner {
  readonly #simulation: Simulation;
  readonly #observeMessages: boolean;
  /** How to end each open watch, by node, life and watch. */
  readonly #watches = new Map<string, () => void>();

  constructor(simulation: Simulation, observeMessages: boolean) {
    this.#simulation = simulation;
    this.#observeMessages = observeMessages;
  }

  /** Carries out one effect of one life of a node. */
  execute(node: SimulatedNode, life: number, effect: NodeEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#send(node, effect);
        break;
      case 'key-value':
        this.#request(node, life, effect);
        break;
      case 'watch-start':
        this.#startWatch(node, life, effect);
        break;
      case 'watch-stop':
        this.#stopWatch(node, life, effect.watchId);
        break;
      case 'engine-start':
        this.#engine(effect.worker.worker)?.start(node, life, effect.dispatchId, effect.request);
        break;
      case 'engine-cancel':
        this.#engine(effect.worker.worker)?.cancel(node, effect.dispatchId);
        break;
      case 'worker-poll':
        this.#engine(effect.worker.worker)?.poll(node, life);
        break;
      case 'worker-order':
        this.#engine(effect.worker.worker)?.order(node, life, effect.orderId, effect.order);
        break;
      case 'machine-list-poll':
        this.#pollMachineList(node, life);
        break;
      case 'reply':
        this.#simulation.calls.reply(node, effect.callId, effect.reply);
        break;
      case 'state-change':
        this.#noteChange(node, effect);
        break;
      case 'stopped':
        this.#simulation.endNode(node, true);
        break;
    }
  }

  #noteChange(node: SimulatedNode, effect: EffectOf<'state-change'>): void {
    if (effect.change !== 'replica-active') return;
    const { domain, shard, epoch } = effect.details;
    this.#simulation.observe({
      kind: 'replica-active',
      ...node.identity,
      domain: String(domain),
      shard: Number(shard),
      epoch: Number(epoch),
    });
  }

  #engine(worker: WorkerId): SimulatedEngine | undefined {
    return this.#simulation.engines.get(worker);
  }

  #send(node: SimulatedNode, effect: EffectOf<'send'>): void {
    const receiver = this.#simulation.nodeByAddress(effect.address);
    if (receiver === undefined) return;
    const from: NodeRecord = node.record;
    const { to, message } = effect;
    if (this.#observeMessages) {
      this.#simulation.observe({
        kind: 'message',
        from: node.plan.node,
        to: receiver.plan.node,
        toZone: receiver.plan.zone,
        content: message,
      });
    }
    this.#simulation.network.send(node.plan.zone, receiver.plan.zone, () =>
      receiver.deliver({ kind: 'peer-message', from, to, message }),
    );
  }

  #request(node: SimulatedNode, life: number, effect: EffectOf<'key-value'>): void {
    const { requestId, operation } = effect;
    this.#simulation.keyValue.request(this.#client(node, life), operation, (result) =>
      node.deliverToLife(life, { kind: 'key-value-result', requestId, result }),
    );
  }

  #startWatch(node: SimulatedNode, life: number, effect: EffectOf<'watch-start'>): void {
    const { watchId, prefix, fromRevision } = effect;
    this.#stopWatch(node, life, watchId);
    const end = this.#simulation.keyValue.watch(
      this.#client(node, life),
      prefix,
      fromRevision,
      (event) => node.deliverToLife(life, { kind: 'watch', watchId, event }),
    );
    this.#watches.set(watchKey(node, life, watchId), end);
  }

  #stopWatch(node: SimulatedNode, life: number, watchId: string): void {
    const key = watchKey(node, life, watchId);
    this.#watches.get(key)?.();
    this.#watches.delete(key);
  }

  #client(node: SimulatedNode, life: number): ServiceClient {
    return { zone: node.plan.zone, open: () => node.isAlive(life) };
  }

  #pollMachineList(node: SimulatedNode, life: number): void {
    const { network, queue, machineList } = this.#simulation;
    const { zone } = node.plan;
    if (!network.isOpen(zone, PLATFORM_ZONE) || !network.isOpen(PLATFORM_ZONE, zone)) return;
    const machines = machineList.shown(queue.now);
    queue.after(network.delay(zone, PLATFORM_ZONE), () =>
      node.deliverToLife(life, { kind: 'machine-list', machines }),
    );
  }
}

function watchKey(node: SimulatedNode, life: number, watchId: string): string {
  return `${node.plan.node}#${life}/${watchId}`;
}
