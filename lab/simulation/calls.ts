/**
 * Calls from clients to nodes: connections that are refused, break with the node's process, or are
 * given up by the client.
 */
import type { NodeId } from '../../src/core/identity.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { CallReply, NodeCall } from '../../src/node/calls.js';
import type { EventQueue } from './event-queue.js';
import { CLIENT_ZONE, type SimulatedNetwork } from './network.js';
import type { LostCallCause, ObservationBody } from './observation.js';
import type { SimulatedNode } from './simulated-node.js';

/** What a client sees of its call. */
export interface CallHandler {
  /** Every reply, the final one (`done` or `failed`) included. */
  readonly onReply: (reply: CallReply) => void;
  readonly onLost: (cause: LostCallCause) => void;
}

/** Builds a call for a node, whose own time deadlines are given in. */
export type CallBuilder = (localNow: Milliseconds) => NodeCall;

interface OpenCall {
  readonly node: SimulatedNode;
  readonly life: number;
  readonly handler: CallHandler;
  /** Earliest time of the next delivery, since a connection keeps the order. */
  notBefore: Milliseconds;
  /** Whether the connection was made. */
  connected: boolean;
}

/** All calls that are underway. */
export class SimulatedCalls {
  readonly #queue: EventQueue;
  readonly #network: SimulatedNetwork;
  readonly #observe: (body: ObservationBody) => void;
  readonly #open = new Map<string, OpenCall>();
  #count = 0;

  constructor(
    queue: EventQueue,
    network: SimulatedNetwork,
    observe: (body: ObservationBody) => void,
  ) {
    this.#queue = queue;
    this.#network = network;
    this.#observe = observe;
  }

  /** Calls a node; after `timeout` the client hangs up. Returns the call's identifier. */
  call(
    node: SimulatedNode,
    build: CallBuilder,
    timeout: Milliseconds,
    handler: CallHandler,
  ): string {
    this.#count += 1;
    const callId = `call-${this.#count}`;
    const open: OpenCall = { node, life: node.life, handler, notBefore: 0, connected: false };
    this.#open.set(callId, open);
    const { node: name, zone } = node.plan;
    const call = build(node.localTime());
    this.#observe({ kind: 'call', callId, node: name, zone, account: call.account, call });
    this.#queue.after(this.#network.delay(CLIENT_ZONE, zone), () => this.#arrive(callId, build));
    this.#queue.after(timeout, () => this.#giveUp(callId));
    return callId;
  }

  /** A node gave a reply away. */
  reply(node: SimulatedNode, callId: string, reply: CallReply): void {
    const open = this.#open.get(callId);
    this.#observe({ kind: 'reply-sent', callId, node: node.plan.node, reply });
    if (open === undefined) return;
    const delay = this.#network.delay(node.plan.zone, CLIENT_ZONE);
    open.notBefore = Math.max(open.notBefore, this.#queue.now + delay);
    this.#queue.after(open.notBefore - this.#queue.now, () => this.#receive(callId, reply));
  }

  /** Breaks the connections of a node whose process has ended. */
  breakConnections(node: NodeId): void {
    for (const [callId, open] of [...this.#open]) {
      if (open.node.plan.node !== node || !open.connected) continue;
      const delay = this.#network.delay(open.node.plan.zone, CLIENT_ZONE);
      this.#queue.after(Math.max(delay, open.notBefore - this.#queue.now), () =>
        this.#lose(callId, 'connection-lost'),
      );
    }
  }

  #arrive(callId: string, build: CallBuilder): void {
    const open = this.#open.get(callId);
    if (open === undefined) return;
    if (!open.node.isAlive(open.life)) {
      this.#lose(callId, 'connection-refused');
      return;
    }
    open.connected = true;
    open.node.deliver({ kind: 'call', callId, call: build(open.node.localTime()) });
  }

  #receive(callId: string, reply: CallReply): void {
    const open = this.#open.get(callId);
    if (open === undefined) return;
    this.#observe({ kind: 'reply-received', callId, reply });
    if (reply.kind !== 'segment') this.#open.delete(callId);
    open.handler.onReply(reply);
  }

  #giveUp(callId: string): void {
    const open = this.#open.get(callId);
    if (open === undefined) return;
    this.#lose(callId, 'caller-timeout');
    open.node.deliverToLife(open.life, { kind: 'call-abandoned', callId });
  }

  #lose(callId: string, cause: LostCallCause): void {
    const open = this.#open.get(callId);
    if (open === undefined) return;
    this.#open.delete(callId);
    this.#observe({ kind: 'call-lost', callId, cause });
    open.handler.onLost(cause);
  }
}
