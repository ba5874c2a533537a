/**
 * One engine of a simulation: the emulator's engine behind a path that can be cut, and the streams
 * that nodes hold open to it.
 */
import type { GenerationRequest } from '../../src/core/generation.js';
import type { Milliseconds } from '../../src/core/units.js';
import type {
  EngineEvent,
  WorkerOrder,
  WorkerOrderResult,
  WorkerRecord,
} from '../../src/platform/worker.js';
import type { EngineCore, EngineOutput } from '../emulator/engine-core.js';
import type { MadeTokens } from '../emulator/made-tokens.js';
import type { EventQueue } from './event-queue.js';
import type { SimulatedNetwork } from './network.js';
import type { ObservationBody } from './observation.js';
import type { SimulatedNode } from './simulated-node.js';

/** How long a node waits for a connection to be made. */
const CONNECT_TIMEOUT: Milliseconds = 2_000;

/** How long a stream may be silent, or an order unanswered, before a node gives it up. */
const SILENCE_TIMEOUT: Milliseconds = 5_000;

interface Stream {
  readonly node: SimulatedNode;
  readonly life: number;
  /** Earliest time of the next delivery, since a connection keeps the order. */
  notBefore: Milliseconds;
  broken: boolean;
}

/** What an engine needs of its surroundings. */
export interface SimulatedEngineOptions {
  readonly worker: WorkerRecord;
  readonly engine: EngineCore;
  readonly queue: EventQueue;
  readonly network: SimulatedNetwork;
  readonly observe: (body: ObservationBody) => void;
}

/** An engine with its open streams and orders. */
export class SimulatedEngine {
  readonly worker: WorkerRecord;
  readonly #engine: EngineCore;
  readonly #queue: EventQueue;
  readonly #network: SimulatedNetwork;
  readonly #observe: (body: ObservationBody) => void;
  readonly #streams = new Map<string, Stream>();
  readonly #orders = new Map<string, Stream>();
  #down = false;
  #leaving = false;
  #scheduledAt: Milliseconds | undefined;

  constructor(options: SimulatedEngineOptions) {
    this.worker = options.worker;
    this.#engine = options.engine;
    this.#queue = options.queue;
    this.#network = options.network;
    this.#observe = options.observe;
  }

  /** What the engine has made itself. */
  get made(): MadeTokens {
    return this.#engine.made;
  }

  /** Sends work from one life of a node to the engine. */
  start(node: SimulatedNode, life: number, dispatchId: string, request: GenerationRequest): void {
    const stream: Stream = { node, life, notBefore: 0, broken: false };
    if (!this.#isOpenFrom(node)) {
      this.#fail(stream, dispatchId, CONNECT_TIMEOUT, 'no', 'no connection');
      return;
    }
    this.#queue.after(this.#delay(node), () => this.#accept(stream, dispatchId, request));
  }

  /** Withdraws work of a node. */
  cancel(node: SimulatedNode, dispatchId: string): void {
    if (!this.#isOpenFrom(node)) return;
    this.#queue.after(this.#delay(node), () => {
      if (this.#down) return;
      this.#streams.delete(dispatchId);
      this.#engine.cancel(dispatchId, this.#queue.now);
      this.#reschedule();
    });
  }

  /** Sends a fenced order of a node. */
  order(node: SimulatedNode, life: number, orderId: string, order: WorkerOrder): void {
    const stream: Stream = { node, life, notBefore: 0, broken: false };
    if (!this.#isOpenFrom(node)) {
      this.#answerOrder(stream, orderId, SILENCE_TIMEOUT, failedOrder('no connection'));
      return;
    }
    this.#queue.after(this.#delay(node), () => {
      if (this.#down) {
        this.#answerOrder(stream, orderId, this.#delay(node), failedOrder('connection refused'));
        return;
      }
      this.#orders.set(orderId, stream);
      this.#engine.order(orderId, order, this.#queue.now);
      this.#reschedule();
    });
  }

  /** Asks for the engine's report of itself. */
  poll(node: SimulatedNode, life: number): void {
    const { worker } = this.worker;
    const unreachable = (delay: Milliseconds): void =>
      this.#queue.after(delay, () =>
        node.deliverToLife(life, { kind: 'worker-unreachable', worker }),
      );
    if (!this.#isOpenFrom(node)) {
      unreachable(CONNECT_TIMEOUT);
      return;
    }
    this.#queue.after(this.#delay(node), () => {
      if (this.#down) {
        unreachable(this.#delay(node));
        return;
      }
      const report = this.#engine.report(this.#queue.now);
      if (!this.#isOpenTo(node)) {
        unreachable(CONNECT_TIMEOUT);
        return;
      }
      this.#queue.after(this.#delay(node), () =>
        node.deliverToLife(life, { kind: 'worker-report', report }),
      );
    });
  }

  /** Ends the process with all it holds. */
  crash(): void {
    if (this.#down) return;
    this.#engine.crash(this.#queue.now);
    this.#observe({ kind: 'engine-crashed', worker: this.worker.worker });
    for (const output of this.#engine.advance(this.#queue.now)) this.#carry(output);
    this.#down = true;
    this.#streams.clear();
    this.#orders.clear();
  }

  /** Starts the process again, empty. */
  restart(): void {
    if (!this.#down) return;
    this.#down = false;
    this.#engine.restart(this.#queue.now);
    if (this.#leaving) this.#reportLeaving(true);
    this.#reschedule();
  }

  /** Lets the engine say that it is on its way out, or that it stays. */
  setLeaving(leaving: boolean): void {
    this.#leaving = leaving;
    if (!this.#down) this.#reportLeaving(leaving);
  }

  /** Share of later loads of weights that fail, in `[0, 1]`. */
  setLoadFailureRate(rate: number): void {
    this.#engine.setLoadFailureRate(rate);
  }

  #reportLeaving(leaving: boolean): void {
    this.#engine.setLeaving(leaving);
    const { worker } = this.worker;
    this.#observe({ kind: 'worker-leaving', worker, sign: 'report', leaving });
  }

  #accept(stream: Stream, dispatchId: string, request: GenerationRequest): void {
    if (this.#down) {
      this.#fail(stream, dispatchId, this.#delay(stream.node), 'no', 'connection refused');
      return;
    }
    if (this.#engine.start(dispatchId, request, this.#queue.now) === 'refused') {
      this.#fail(stream, dispatchId, this.#delay(stream.node), 'no', 'refused by the engine');
      return;
    }
    this.#streams.set(dispatchId, stream);
    this.#observe({
      kind: 'engine-accepted',
      worker: this.worker.worker,
      zone: this.worker.zone,
      node: stream.node.plan.node,
      dispatchId,
      request,
      senderAlive: stream.node.isAlive(stream.life) && stream.node.state === 'running',
    });
    this.#reschedule();
  }

  #reschedule(): void {
    const next = this.#engine.nextEventAt();
    if (next === undefined || this.#down) return;
    if (this.#scheduledAt !== undefined && this.#scheduledAt <= next) return;
    this.#scheduledAt = next;
    this.#queue.after(next - this.#queue.now, () => {
      if (this.#scheduledAt !== next) return;
      this.#scheduledAt = undefined;
      this.#advance();
    });
  }

  #advance(): void {
    if (this.#down) return;
    for (const output of this.#engine.advance(this.#queue.now)) this.#carry(output);
    this.#reschedule();
  }

  #carry(output: EngineOutput): void {
    if (output.kind === 'order') {
      this.#carryOrder(output.orderId, output.result);
      return;
    }
    const { dispatchId, event } = output;
    const stream = this.#streams.get(dispatchId);
    this.#observe({ kind: 'engine-event', worker: this.worker.worker, dispatchId, event });
    if (event.kind !== 'segment') this.#streams.delete(dispatchId);
    if (stream === undefined || stream.broken) return;
    if (!stream.node.isAlive(stream.life)) {
      this.#streams.delete(dispatchId);
      this.#engine.cancel(dispatchId, this.#queue.now);
      return;
    }
    if (!this.#isOpenTo(stream.node)) {
      stream.broken = true;
      this.#fail(stream, dispatchId, SILENCE_TIMEOUT, 'unknown', 'the stream fell silent');
      return;
    }
    this.#deliver(stream, dispatchId, this.#delay(stream.node), event);
  }

  #carryOrder(orderId: string, result: WorkerOrderResult): void {
    const stream = this.#orders.get(orderId);
    this.#orders.delete(orderId);
    if (stream === undefined) return;
    if (this.#isOpenTo(stream.node)) {
      this.#answerOrder(stream, orderId, this.#delay(stream.node), result);
      return;
    }
    this.#answerOrder(stream, orderId, SILENCE_TIMEOUT, failedOrder('no answer'));
  }

  #answerOrder(
    stream: Stream,
    orderId: string,
    delay: Milliseconds,
    result: WorkerOrderResult,
  ): void {
    this.#queue.after(delay, () =>
      stream.node.deliverToLife(stream.life, { kind: 'order-result', orderId, result }),
    );
  }

  #fail(
    stream: Stream,
    dispatchId: string,
    delay: Milliseconds,
    ran: 'no' | 'unknown',
    reason: string,
  ): void {
    this.#deliver(stream, dispatchId, delay, { kind: 'failed', ran, reason });
  }

  #deliver(stream: Stream, dispatchId: string, delay: Milliseconds, event: EngineEvent): void {
    stream.notBefore = Math.max(stream.notBefore, this.#queue.now + delay);
    this.#queue.after(stream.notBefore - this.#queue.now, () =>
      stream.node.deliverToLife(stream.life, { kind: 'engine', dispatchId, event }),
    );
  }

  #isOpenFrom(node: SimulatedNode): boolean {
    return this.#network.isOpen(node.plan.zone, this.worker.zone);
  }

  #isOpenTo(node: SimulatedNode): boolean {
    return this.#network.isOpen(this.worker.zone, node.plan.zone);
  }

  #delay(node: SimulatedNode): Milliseconds {
    return this.#network.delay(node.plan.zone, this.worker.zone);
  }
}

function failedOrder(reason: string): WorkerOrderResult {
  return { kind: 'failed', reason };
}
