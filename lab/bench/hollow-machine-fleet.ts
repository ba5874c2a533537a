/** A hollow fleet of the machine feeds of one zone around one simulated machine list. */
import type { NodeId, NodeRecord } from '../../src/core/identity.js';
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { MachineFeed, type MachineFeedEffect } from '../../src/machine-feed/machine-feed.js';
import type { MachineFeedMessage } from '../../src/machine-feed/messages.js';
import type { MemberView } from '../../src/membership/membership.js';
import type { MachineRecord } from '../../src/platform/worker.js';
import { HollowFleet } from './hollow-fleet.js';

/** Time from the start of a read to its answer. */
const READ_TIME: Milliseconds = 20;

const BASE_PORT = 7_000;
const NODES_PER_HOST = 250;

/** A list of `machines` machines with a worker each, one in five of them with a node instead. */
export function machineRecords(machines: number): readonly MachineRecord[] {
  return Array.from({ length: machines }, (_, position) => {
    const machine = `machine-${position}`;
    const address = `10.1.${Math.floor(position / NODES_PER_HOST)}.${position % NODES_PER_HOST}:7000`;
    const zone = `zone-${position % 8}`;
    const worker = { worker: `worker-${position}`, model: 'model-1', zone, address, slots: 16 };
    const isNode = position % 5 === 0;
    const [nodeAddresses, workers] = isNode ? [[address], []] : [[], [worker]];
    return { machine, zone, state: 'live', nodeAddresses, workers };
  });
}

/** The list with one machine in another state. */
export function withState(
  machines: readonly MachineRecord[],
  position: number,
  state: MachineRecord['state'],
): readonly MachineRecord[] {
  return machines.map((machine, at) => (at === position ? { ...machine, state } : machine));
}

/** The fleet. */
export class HollowMachineFleet {
  readonly fleet: HollowFleet<MachineFeedMessage>;
  readonly records: NodeRecord[];
  readonly feeds = new Map<NodeId, MachineFeed>();
  /** Reads of the list by each node. */
  readonly reads = new Map<NodeId, number>();
  /** Whether a node reaches the list's service. */
  reachesList: (node: NodeId) => boolean = () => true;
  /** Called at each change of a node's list. */
  onMachines: (node: NodeId, now: Milliseconds) => void = () => {};
  /** Called at each message sent. */
  onSend: (message: MachineFeedMessage) => void = () => {};

  constructor(
    size: number,
    private readonly seed: number,
    loss: number,
    /** The list as the platform shows it. */
    public list: readonly MachineRecord[],
  ) {
    this.fleet = new HollowFleet({ seed, loss });
    this.records = Array.from({ length: size }, (_, position) => recordOf(position));
    for (const record of this.records) this.start(record);
  }

  get now(): Milliseconds {
    return this.fleet.queue.now;
  }

  /** Starts a node, or a later life of one, without any memory. */
  start(record: NodeRecord): void {
    const position = this.records.findIndex((other) => other.node === record.node);
    this.records[position] = record;
    const random = createRandomSource(this.seed * 1_000 + position + record.incarnation);
    const feed = new MachineFeed({ self: record, random });
    this.feeds.set(record.node, feed);
    this.fleet.add({
      record,
      receive: (from, message, now) => this.carry(record, feed, feed.receive(from, message, now)),
      tick: (now) => this.carry(record, feed, feed.tick(now)),
    });
  }

  /** Tells all feeds who is there. */
  announceMembers(): void {
    const members: MemberView[] = this.records.map((record) => ({
      record,
      state: this.fleet.isRunning(record.node) ? 'alive' : 'dead',
    }));
    for (const feed of this.feeds.values()) feed.membersChanged(members, this.now);
  }

  runFor(duration: Milliseconds): void {
    this.fleet.queue.runUntil(this.now + duration);
  }

  /** Names of the nodes that read the list within a time. */
  readersWithin(duration: Milliseconds): readonly NodeId[] {
    this.reads.clear();
    this.runFor(duration);
    return [...this.reads.keys()];
  }

  /** How many running nodes have the list with a machine in this state. */
  countKnowing(machine: string, state: MachineRecord['state']): number {
    return this.records.filter(({ node }) => {
      if (!this.fleet.isRunning(node)) return false;
      const machines = this.feeds.get(node)?.machines() ?? [];
      return machines.some((record) => record.machine === machine && record.state === state);
    }).length;
  }

  private carry(
    record: NodeRecord,
    feed: MachineFeed,
    effects: readonly MachineFeedEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.kind === 'send') {
        this.onSend(effect.message);
        this.fleet.send(record, effect);
      }
      if (effect.kind === 'machines') this.onMachines(record.node, this.now);
      if (effect.kind === 'poll') this.read(record, feed);
    }
  }

  private read(record: NodeRecord, feed: MachineFeed): void {
    const { node } = record;
    this.reads.set(node, (this.reads.get(node) ?? 0) + 1);
    if (!this.reachesList(node)) return;
    const { list } = this;
    this.fleet.queue.at(this.now + READ_TIME, () => {
      if (this.feeds.get(node) !== feed || !this.fleet.isRunning(node)) return;
      this.carry(record, feed, feed.polled(list, this.now));
    });
  }
}

function recordOf(position: number): NodeRecord {
  return {
    node: `node-${position}`,
    incarnation: 1,
    zone: 'zone-a',
    region: 'region-1',
    address: `10.0.${Math.floor(position / NODES_PER_HOST)}.${position % NODES_PER_HOST}:${BASE_PORT}`,
    machine: `machine-${position * 5}`,
  };
}
