/**
 * Many ledgers in one process and in simulated time, joined by a network that loses, doubles,
 * delays and reorders messages, with kills, forgetful restarts, freezes and cuts.
 */
import { parse, stringify } from 'devalue';
import type { NodeRecord } from '../../src/core/identity.js';
import { identityKey, type NodeIdentity } from '../../src/core/identity.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import {
  decodeGroupRecord,
  Ledger,
  type LedgerEffect,
  type LedgerMessage,
  type LedgerOptions,
  type LedgerOutcome,
} from '../../src/ledger/ledger.js';
import { EventQueue } from '../simulation/event-queue.js';
import { SimulatedKeyValue } from './ledger-key-value.js';

/** How the network behaves; times in milliseconds, shares in `[0, 1]`. */
export interface NetworkConditions {
  latency: number;
  jitter: number;
  lossShare: number;
  duplicateShare: number;
  /** Whether messages pass from one zone to the other. */
  passes: (fromZone: string, toZone: string) => boolean;
}

/** Settings of a fleet. */
export interface FleetOptions {
  readonly seed: number;
  readonly nodeCount: number;
  readonly zones: readonly string[];
  readonly tuning?: Partial<LedgerOptions>;
  /** Whether messages are encoded, which counts bytes and copies values. Default true. */
  readonly encodes?: boolean;
  /** Whether CPU time is counted; costs time of its own. Default false. */
  readonly measuresCpu?: boolean;
  /** Time until others see that a node died or came back. Default 1,000 ms. */
  readonly detectionDelay?: number;
}

/** One place in the fleet and its present life. */
export interface FleetNode {
  record: NodeRecord;
  ledger: Ledger<unknown>;
  isUp: boolean;
  isFrozen: boolean;
  /** Work that waits while the node is frozen. */
  held: (() => void)[];
}

/** Traffic and time spent in ledgers. */
export interface FleetCounters {
  messages: number;
  bytes: number;
  /** CPU time in microseconds spent in ledgers, ticks left out. */
  workMicroseconds: number;
  tickMicroseconds: number;
}

/** Name of the domain that spans all zones of a fleet. */
export function domainOf(zones: readonly string[]): string {
  return [...zones].sort().join('+');
}

const TICK_MILLISECONDS = 50;
const FEED_DELAY_MILLISECONDS = 100;

/** Nodes that run a ledger each, in one domain over all zones of the fleet. */
export class LedgerFleet {
  readonly queue = new EventQueue();
  readonly random: RandomSource;
  readonly keyValue: SimulatedKeyValue;
  readonly nodes: FleetNode[] = [];
  readonly domain: string;
  readonly counters: FleetCounters = {
    messages: 0,
    bytes: 0,
    workMicroseconds: 0,
    tickMicroseconds: 0,
  };
  readonly network: NetworkConditions = {
    latency: 0.5,
    jitter: 0.5,
    lossShare: 0,
    duplicateShare: 0,
    passes: () => true,
  };
  readonly #options: FleetOptions;
  readonly #outcomes = new Map<string, (outcome: LedgerOutcome<unknown>) => void>();
  #operations = 0;
  #domainZones: readonly string[];

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#domainZones = options.zones;
    this.random = createRandomSource(options.seed);
    this.keyValue = new SimulatedKeyValue(createRandomSource(options.seed + 1));
    this.keyValue.onWrite = (entry) => this.#feed(entry.value);
    this.domain = domainOf(options.zones);
    for (let index = 0; index < options.nodeCount; index += 1) this.#addNode(index);
    this.#shareMembers();
  }

  /** Lets simulated time pass. */
  run(milliseconds: number): void {
    this.queue.runUntil(this.queue.now + milliseconds);
  }

  /** Starts an operation on a node; the callback is lost if the node's life ends. */
  operate(
    node: FleetNode,
    start: (operationId: string, ledger: Ledger<unknown>) => readonly LedgerEffect<unknown>[],
    callback: (outcome: LedgerOutcome<unknown>) => void,
  ): void {
    this.#operations += 1;
    const operationId = `operation-${this.#operations}`;
    this.#outcomes.set(operationId, callback);
    this.#work(node, () => start(operationId, node.ledger));
  }

  /** Ends a node's life. */
  kill(node: FleetNode): void {
    node.isUp = false;
    node.held = [];
    this.queue.after(this.#options.detectionDelay ?? 1_000, () => this.#shareMembers());
  }

  /** Starts a new life of a node, without memory. */
  restart(node: FleetNode): void {
    const incarnation = node.record.incarnation + 1;
    node.record = { ...node.record, incarnation };
    node.ledger = this.#newLedger(node.record);
    node.isUp = true;
    node.isFrozen = false;
    node.held = [];
    this.queue.after(this.#options.detectionDelay ?? 1_000, () => this.#shareMembers());
    this.#work(node, () => {
      const records = [...this.keyValue.entries()].flatMap(
        (entry) => decodeGroupRecord(entry.value) ?? [],
      );
      return node.ledger.updateGroups(records, this.queue.now);
    });
    this.#tickLater(node, TICK_MILLISECONDS);
  }

  /** Stops a node for a while; what reaches it meanwhile is handled when it wakes. */
  freeze(node: FleetNode, milliseconds: number): void {
    const { ledger } = node;
    node.isFrozen = true;
    this.queue.after(milliseconds, () => {
      if (node.ledger !== ledger) return;
      node.isFrozen = false;
      const held = node.held;
      node.held = [];
      for (const work of held) work();
    });
  }

  /** Carries one message to a node, as the network would. */
  deliver(from: NodeIdentity, to: NodeIdentity, message: LedgerMessage): void {
    const target = this.nodes.find((node) => node.record.node === to.node);
    if (target?.isUp !== true) return;
    this.#work(target, () => target.ledger.receive(from, message, this.queue.now));
  }

  #addNode(index: number): void {
    const zone = this.#options.zones[index % this.#options.zones.length] as string;
    const record: NodeRecord = {
      node: `node-${index}`,
      incarnation: 1,
      zone,
      region: 'region',
      address: `127.0.0.1:${index}`,
      machine: `machine-${index}`,
    };
    const ledger = this.#newLedger(record);
    const node = { record, ledger, isUp: true, isFrozen: false, held: [] };
    this.nodes.push(node);
    this.#tickLater(node, this.random.fraction() * TICK_MILLISECONDS);
  }

  #newLedger(self: NodeRecord): Ledger<unknown> {
    const random = createRandomSource(this.random.integer(0x7fffffff));
    return new Ledger<unknown>({ ...this.#options.tuning, self, random });
  }

  #tickLater(node: FleetNode, delay: number): void {
    const { ledger } = node;
    this.queue.after(delay, () => {
      if (!node.isUp || node.ledger !== ledger) return;
      if (!node.isFrozen) {
        const started = this.#cpuMicroseconds();
        const effects = ledger.tick(this.queue.now);
        this.counters.tickMicroseconds += this.#cpuMicroseconds() - started;
        this.#perform(node, effects);
      }
      this.#tickLater(node, TICK_MILLISECONDS);
    });
  }

  /** CPU time of the process, which other load on the machine does not stretch; 0 if unmeasured. */
  #cpuMicroseconds(): number {
    if (this.#options.measuresCpu !== true) return 0;
    const { user, system } = process.cpuUsage();
    return user + system;
  }

  #work(node: FleetNode, work: () => readonly LedgerEffect<unknown>[]): void {
    if (node.isFrozen) {
      node.held.push(() => this.#work(node, work));
      return;
    }
    const started = this.#cpuMicroseconds();
    const effects = work();
    this.counters.workMicroseconds += this.#cpuMicroseconds() - started;
    this.#perform(node, effects);
  }

  #perform(node: FleetNode, effects: readonly LedgerEffect<unknown>[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') this.#send(node.record, effect.to, effect.message);
      if (effect.kind === 'key-value') this.#ask(node, effect.requestId, effect.operation);
      if (effect.kind === 'completed') {
        this.#outcomes.get(effect.operationId)?.(effect.outcome);
        this.#outcomes.delete(effect.operationId);
      }
    }
  }

  #send(from: NodeRecord, to: NodeIdentity, message: LedgerMessage): void {
    this.counters.messages += 1;
    const text = this.#options.encodes === false ? undefined : stringify(message);
    if (text !== undefined) this.counters.bytes += Buffer.byteLength(text);
    const target = this.nodes.find((node) => node.record.node === to.node);
    if (target === undefined || !this.network.passes(from.zone, target.record.zone)) return;
    const copies = this.random.fraction() < this.network.duplicateShare ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random.fraction() < this.network.lossShare) continue;
      const delay = this.network.latency + this.random.fraction() * this.network.jitter;
      const received = text === undefined ? message : (parse(text) as LedgerMessage);
      this.queue.after(delay, () => this.deliver(from, to, received));
    }
  }

  #ask(
    node: FleetNode,
    requestId: string,
    operation: Extract<LedgerEffect<unknown>, { kind: 'key-value' }>['operation'],
  ): void {
    const { ledger } = node;
    const delay = (): number => 2 + this.random.fraction() * 10;
    this.queue.after(delay(), () => {
      const result = this.keyValue.execute(operation);
      this.queue.after(delay(), () => {
        if (!node.isUp || node.ledger !== ledger) return;
        this.#work(node, () => ledger.keyValueResult(requestId, result, this.queue.now));
      });
    });
  }

  #feed(value: string): void {
    const record = decodeGroupRecord(value);
    if (record === undefined) return;
    this.queue.after(FEED_DELAY_MILLISECONDS, () => {
      if (this.keyValue.faults.isDown) return;
      for (const node of this.nodes) {
        if (!node.isUp) continue;
        this.#work(node, () => node.ledger.updateGroups([record], this.queue.now));
      }
    });
  }

  /** Changes the zones that the domain names. */
  nameZones(zones: readonly string[]): void {
    this.#domainZones = zones;
    this.#shareMembers();
  }

  #shareMembers(): void {
    const members = this.nodes.map(({ record, isUp }) => ({ record, alive: isUp }));
    const domains = [{ name: this.domain, zones: this.#domainZones }];
    for (const node of this.nodes) {
      if (!node.isUp) continue;
      this.#work(node, () => node.ledger.updateMembers(members, domains, this.queue.now));
    }
  }
}

/** Node of the fleet that is a given member of a group, if that life is still up. */
export function nodeOf(fleet: LedgerFleet, identity: NodeIdentity): FleetNode | undefined {
  const key = identityKey(identity);
  return fleet.nodes.find((node) => node.isUp && identityKey(node.record) === key);
}
