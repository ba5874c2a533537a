/**
 * Hollow fleets: thousands of decision modules in one process, in simulated time, joined by a
 * simulated network with seeded latency, loss and cuts between zones.
 */
import type { NodeId, NodeRecord, ZoneName } from '../../src/core/identity.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { TICK_INTERVAL_MILLISECONDS } from '../../src/node/node-events.js';
import { EventQueue } from '../simulation/event-queue.js';
import { TrafficMeter } from './hollow-fleet-traffic.js';

/** Zones of the fleets, with their regions. */
export const FLEET_ZONES: readonly { readonly zone: ZoneName; readonly region: string }[] = [
  { zone: 'zone-a', region: 'region-1' },
  { zone: 'zone-b', region: 'region-1' },
  { zone: 'zone-c', region: 'region-1' },
  { zone: 'zone-d', region: 'region-2' },
  { zone: 'zone-e', region: 'region-2' },
  { zone: 'zone-f', region: 'region-2' },
  { zone: 'zone-g', region: 'region-3' },
  { zone: 'zone-h', region: 'region-3' },
];

/** Sizes that the benches measure. */
export const FLEET_SIZES = [100, 300, 1_000, 2_700] as const;

const BASE_PORT = 7_000;

/** Records of a fleet, spread evenly over {@link FLEET_ZONES}. */
export function fleetRecords(size: number): readonly NodeRecord[] {
  return Array.from({ length: size }, (_, position) => {
    const place = FLEET_ZONES[position % FLEET_ZONES.length] as (typeof FLEET_ZONES)[number];
    const host = Math.floor(position / 250);
    return {
      node: `${place.zone}-${Math.floor(position / FLEET_ZONES.length)}`,
      incarnation: 1_700_000_000 + position,
      zone: place.zone,
      region: place.region,
      address: `10.0.${host}.${position % 250}:${BASE_PORT}`,
      machine: `machine-${position}`,
    };
  });
}

/** Something a module wants sent. */
export interface OutgoingMessage<Message> {
  readonly address: string;
  readonly message: Message;
}

/** One hollow node: a decision module behind two functions, whose sends the fleet carries. */
export interface HollowNode<Message> {
  readonly record: NodeRecord;
  receive(from: NodeRecord, message: Message, now: Milliseconds): void;
  tick(now: Milliseconds): void;
}

/** Settings of a hollow fleet. */
export interface HollowFleetOptions {
  readonly seed: number;
  /** Share of messages that are lost, in `[0, 1]`. */
  readonly loss: number;
}

/** A fleet of hollow nodes. */
export class HollowFleet<Message extends { readonly kind: string }> {
  readonly queue = new EventQueue();
  readonly random: RandomSource;
  readonly traffic = new TrafficMeter();
  private readonly byAddress = new Map<string, HollowNode<Message>>();
  private readonly stopped = new Set<NodeId>();
  private readonly frozen = new Map<NodeId, Milliseconds>();
  private readonly isolated = new Set<NodeId>();
  private isCut: (left: ZoneName, right: ZoneName) => boolean = () => false;
  /** Share of messages lost; may be changed while the fleet runs. */
  loss: number;

  constructor(options: HollowFleetOptions) {
    this.random = createRandomSource(options.seed);
    this.loss = options.loss;
  }

  /** Adds a node, or a later life at the same address, and starts its ticks. */
  add(node: HollowNode<Message>): void {
    this.byAddress.set(node.record.address, node);
    this.stopped.delete(node.record.node);
    const first = this.queue.now + TICK_INTERVAL_MILLISECONDS * this.random.fraction();
    this.queue.at(first, () => this.tick(node));
  }

  /** Stops a node for good, without a word. */
  kill(node: NodeId): void {
    this.stopped.add(node);
  }

  /** Freezes a node: it neither ticks nor receives until the time given. */
  freeze(node: NodeId, until: Milliseconds): void {
    this.frozen.set(node, until);
  }

  /** Cuts one node off from all others, or joins it again. */
  isolate(node: NodeId, isIsolated: boolean): void {
    if (isIsolated) this.isolated.add(node);
    else this.isolated.delete(node);
  }

  isRunning(node: NodeId): boolean {
    return !this.stopped.has(node) && this.queue.now >= (this.frozen.get(node) ?? 0);
  }

  /** Says which zones cannot reach each other from now on. */
  cut(isCut: (left: ZoneName, right: ZoneName) => boolean): void {
    this.isCut = isCut;
  }

  /** Carries a message from one node to an address. */
  send(from: NodeRecord, { address, message }: OutgoingMessage<Message>): void {
    const target = this.byAddress.get(address);
    this.traffic.count(from, message);
    if (target === undefined || this.isCut(from.zone, target.record.zone)) return;
    if (this.isolated.has(from.node) || this.isolated.has(target.record.node)) return;
    if (this.loss > 0 && this.random.fraction() < this.loss) return;
    const at = this.queue.now + this.latency(from, target.record);
    this.queue.at(at, () => this.deliver(from, target, message));
  }

  private deliver(from: NodeRecord, target: HollowNode<Message>, message: Message): void {
    if (this.byAddress.get(target.record.address) !== target) return;
    if (this.isRunning(target.record.node)) target.receive(from, message, this.queue.now);
  }

  private tick(node: HollowNode<Message>): void {
    if (this.byAddress.get(node.record.address) !== node) return;
    if (this.stopped.has(node.record.node)) return;
    if (this.isRunning(node.record.node)) node.tick(this.queue.now);
    this.queue.at(this.queue.now + TICK_INTERVAL_MILLISECONDS, () => this.tick(node));
  }

  /** One-way latency: about 0.5 ms in a zone, 1 ms in a region, 40 ms between regions. */
  private latency(from: NodeRecord, to: NodeRecord): Milliseconds {
    const spread = 0.5 + this.random.fraction();
    if (from.zone === to.zone) return 0.5 * spread;
    return (from.region === to.region ? 1 : 40) * spread;
  }
}
