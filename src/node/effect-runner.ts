/**
 * Carries out a node's effects on the outside world and reports what comes of them as events. The
 * only part of a node that speaks to the platform.
 */
import { Subject } from 'rxjs';
import type { EngineClient } from '../platform/engine-client.js';
import type { KeyValueResult } from '../platform/key-value.js';
import type { KeyValueClient } from '../platform/key-value-client.js';
import type { MachineListClient } from '../platform/machine-list-client.js';
import type { BodyFolder } from '../storage/body-folder.js';
import type { NodeCounters } from '../telemetry/counters.js';
import type { NodeLogger } from '../telemetry/logger.js';
import type { PeerTransport } from '../transport/peer-transport.js';
import type { NodeEffect, NodeEvent } from './node-events.js';

/** Clients of everything outside. */
export interface EffectClients {
  readonly transport: PeerTransport;
  /** Endpoints of one key-value service; the next is tried when one does not answer. */
  readonly keyValue: readonly KeyValueClient[];
  readonly engines: EngineClient;
  readonly machineList: MachineListClient;
  readonly logger: NodeLogger;
  /** `null` on a machine without a disk. */
  readonly disk: BodyFolder | null;
  readonly counters: NodeCounters;
}

/** Carries out effects. */
export class EffectRunner {
  /** What came of the effects. */
  readonly events = new Subject<NodeEvent>();
  private readonly generations = new Map<string, () => void>();
  private readonly watches = new Map<string, () => void>();
  private keyValueIndex = 0;
  private pollingMachineList = false;

  constructor(private readonly clients: EffectClients) {
    clients.disk?.loaded.subscribe(({ name, body }) => {
      this.events.next({ kind: 'body-loaded', name, body });
    });
  }

  /** Carries out one effect; replies and `stopped` are the caller's business. */
  run(effect: NodeEffect): void {
    switch (effect.kind) {
      case 'send':
        this.sendMessage(effect);
        return;
      case 'key-value':
        void this.performKeyValue(effect);
        return;
      case 'watch-start':
        this.startWatch(effect);
        return;
      case 'watch-stop':
        this.stopWatch(effect.watchId);
        return;
      case 'engine-start':
        this.startEngine(effect);
        return;
      case 'engine-cancel':
        this.cancelEngine(effect.dispatchId);
        return;
      case 'worker-poll':
        void this.pollWorker(effect);
        return;
      case 'worker-order':
        void this.giveOrder(effect);
        return;
      case 'machine-list-poll':
        void this.pollMachineList();
        return;
      case 'disk':
        this.clients.disk?.perform(effect.request);
        return;
      case 'state-change':
        this.logChange(effect);
        return;
      case 'reply':
      case 'stopped':
        return;
    }
  }

  /** Ends everything that is in progress outside. */
  close(): void {
    for (const cancel of this.generations.values()) cancel();
    for (const stop of this.watches.values()) stop();
    for (const client of this.clients.keyValue) client.close();
    this.clients.engines.close();
    this.clients.machineList.close();
    this.events.complete();
  }

  private sendMessage(effect: Extract<NodeEffect, { kind: 'send' }>): void {
    const { module } = effect.message;
    this.clients.counters.increment('wardwing_peer_messages_sent_total', { module });
    this.clients.transport.send(effect.to, effect.address, effect.message);
  }

  private logChange(effect: Extract<NodeEffect, { kind: 'state-change' }>): void {
    const { module, change, details } = effect;
    this.clients.counters.increment('wardwing_state_changes_total', { module });
    this.clients.logger.logStateChange(module, change, details);
  }

  private async performKeyValue(effect: Extract<NodeEffect, { kind: 'key-value' }>): Promise<void> {
    const { requestId, operation } = effect;
    const result = (await this.keyValueClient()?.perform(operation)) ?? UNAVAILABLE;
    this.countKeyValue(operation.kind, result);
    if (result.kind === 'failed' && result.reason === 'unavailable') this.keyValueIndex += 1;
    this.events.next({ kind: 'key-value-result', requestId, result });
  }

  private countKeyValue(operation: string, result: KeyValueResult): void {
    const { counters } = this.clients;
    counters.increment('wardwing_key_value_requests_total', { operation });
    if (result.kind !== 'failed') return;
    counters.increment('wardwing_key_value_failures_total', { reason: result.reason });
  }

  private startWatch(effect: Extract<NodeEffect, { kind: 'watch-start' }>): void {
    const { watchId, prefix, fromRevision } = effect;
    this.stopWatch(watchId);
    const stop = this.keyValueClient()?.watch(prefix, fromRevision, (event) => {
      if (event.kind === 'lost') this.watches.delete(watchId);
      this.events.next({ kind: 'watch', watchId, event });
    });
    if (stop !== undefined) this.watches.set(watchId, stop);
  }

  private stopWatch(watchId: string): void {
    this.watches.get(watchId)?.();
    this.watches.delete(watchId);
  }

  private keyValueClient(): KeyValueClient | undefined {
    return this.clients.keyValue[this.keyValueIndex % this.clients.keyValue.length];
  }

  private startEngine(effect: Extract<NodeEffect, { kind: 'engine-start' }>): void {
    const { dispatchId, worker, request } = effect;
    const traffic = request.trafficClass;
    this.clients.counters.increment('wardwing_engine_streams_total', { traffic });
    const cancel = this.clients.engines.generate(worker, request, (event) => {
      if (event.kind !== 'segment') this.generations.delete(dispatchId);
      this.events.next({ kind: 'engine', dispatchId, event });
    });
    this.generations.set(dispatchId, cancel);
  }

  private cancelEngine(dispatchId: string): void {
    this.generations.get(dispatchId)?.();
    this.generations.delete(dispatchId);
  }

  private async pollWorker(effect: Extract<NodeEffect, { kind: 'worker-poll' }>): Promise<void> {
    const report = await this.clients.engines.report(effect.worker);
    if (report === undefined) {
      this.events.next({ kind: 'worker-unreachable', worker: effect.worker.worker });
    } else {
      this.events.next({ kind: 'worker-report', report });
    }
  }

  private async giveOrder(effect: Extract<NodeEffect, { kind: 'worker-order' }>): Promise<void> {
    const { orderId, worker, order } = effect;
    const result = await this.clients.engines.order(worker, order);
    const labels = { action: order.action.kind, outcome: result.kind };
    this.clients.counters.increment('wardwing_weight_orders_total', labels);
    this.events.next({ kind: 'order-result', orderId, result });
  }

  private async pollMachineList(): Promise<void> {
    if (this.pollingMachineList) return;
    this.pollingMachineList = true;
    const machines = await this.clients.machineList.list();
    this.pollingMachineList = false;
    if (machines !== undefined) this.events.next({ kind: 'machine-list', machines });
  }
}

/** Stands for an answer where no endpoint is configured. */
const UNAVAILABLE: KeyValueResult = {
  kind: 'failed',
  reason: 'unavailable',
  mayHaveApplied: false,
  retryAfter: 1_000,
};
