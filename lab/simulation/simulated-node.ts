/**
 * One node of a simulation: its lives, its clock, and whether it runs, is frozen or is down.
 */
import type { NodeIdentity, NodeRecord } from '../../src/core/identity.js';
import type { Milliseconds } from '../../src/core/units.js';
import {
  type NodeEffect,
  type NodeEvent,
  TICK_INTERVAL_MILLISECONDS,
} from '../../src/node/node-events.js';
import type { EventQueue } from './event-queue.js';
import type { NodePlan } from './fleet-plan.js';
import type { NodeClock } from './node-clock.js';
import type { NodeLogic } from './ports.js';

/** Whether a node's process runs. */
export type NodeState = 'running' | 'frozen' | 'down';

/** How many events a frozen process's sockets keep before further ones are dropped. */
const FROZEN_BACKLOG_LIMIT = 20_000;

/** What a node needs of its surroundings. */
export interface SimulatedNodeOptions {
  readonly plan: NodePlan;
  readonly queue: EventQueue;
  readonly createLogic: (record: NodeRecord) => NodeLogic;
  readonly createClock: () => NodeClock;
  readonly region: string;
  /** Carries out an effect of one life. */
  readonly execute: (node: SimulatedNode, life: number, effect: NodeEffect) => void;
}

/** A node with its present life. */
export class SimulatedNode {
  readonly plan: NodePlan;
  readonly #options: SimulatedNodeOptions;
  #state: NodeState = 'down';
  #incarnation = 0;
  #record: NodeRecord;
  #logic: NodeLogic | undefined;
  #clock: NodeClock;
  #backlog: NodeEvent[] = [];

  constructor(options: SimulatedNodeOptions) {
    this.#options = options;
    this.plan = options.plan;
    this.#clock = options.createClock();
    this.#record = this.#describe();
  }

  get state(): NodeState {
    return this.#state;
  }

  /** Number of the present or last life; 0 before the first. */
  get life(): number {
    return this.#incarnation;
  }

  get identity(): NodeIdentity {
    return { node: this.plan.node, incarnation: this.#incarnation };
  }

  /** Record of the present or last life. */
  get record(): NodeRecord {
    return this.#record;
  }

  /** The decisions of the present life; `undefined` while the node is down. */
  get logic(): NodeLogic | undefined {
    return this.#logic;
  }

  /** The node's own time. */
  localTime(): Milliseconds {
    return this.#clock.read(this.#options.queue.now);
  }

  /** Whether a life is the present one and has not ended. */
  isAlive(life: number): boolean {
    return this.#state !== 'down' && this.#incarnation === life;
  }

  /** Begins a new life that remembers nothing. */
  start(): void {
    if (this.#state !== 'down') return;
    this.#incarnation += 1;
    this.#record = this.#describe();
    this.#clock = this.#options.createClock();
    this.#backlog = [];
    this.#logic = this.#options.createLogic(this.record);
    this.#state = 'running';
    this.#scheduleTick(this.#incarnation);
  }

  /** Ends the present life at once. */
  end(): void {
    this.#state = 'down';
    this.#logic = undefined;
    this.#backlog = [];
  }

  /** Stops the process from running without ending it. */
  freeze(): void {
    if (this.#state === 'running') this.#state = 'frozen';
  }

  /** Lets a frozen process run on; what arrived meanwhile is handled now. */
  wake(timersFirst: boolean): void {
    if (this.#state !== 'frozen') return;
    this.#state = 'running';
    const backlog = this.#backlog;
    this.#backlog = [];
    if (timersFirst) this.deliver({ kind: 'tick' });
    for (const event of backlog) this.deliver(event);
  }

  /** Lets the node's clock run at another rate. */
  changeClockRate(rate: number): void {
    this.#clock.changeRate(this.#options.queue.now, rate);
  }

  /** Hands an event to the present life, whichever it is. */
  deliver(event: NodeEvent): void {
    if (this.#state === 'frozen') {
      if (this.#backlog.length < FROZEN_BACKLOG_LIMIT) this.#backlog.push(event);
      return;
    }
    if (this.#logic === undefined) return;
    const life = this.#incarnation;
    const effects = this.#logic.handle(event, this.localTime());
    for (const effect of effects) {
      if (this.isAlive(life)) this.#options.execute(this, life, effect);
    }
  }

  /** Hands an event to one life only, as a connection of its own does. */
  deliverToLife(life: number, event: NodeEvent): void {
    if (this.isAlive(life)) this.deliver(event);
  }

  #describe(): NodeRecord {
    const { zone, address, machine } = this.plan;
    return { ...this.identity, zone, region: this.#options.region, address, machine };
  }

  #scheduleTick(life: number): void {
    this.#options.queue.after(TICK_INTERVAL_MILLISECONDS, () => {
      if (!this.isAlive(life)) return;
      if (this.#state === 'running') this.deliver({ kind: 'tick' });
      this.#scheduleTick(life);
    });
  }
}
