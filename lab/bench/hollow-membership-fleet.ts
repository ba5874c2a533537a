/** A hollow fleet of membership modules. */
import type { NodeId, NodeRecord } from '../../src/core/identity.js';
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import {
  Membership,
  type MembershipEffect,
  type MembershipOptions,
} from '../../src/membership/membership.js';
import type { MembershipMessage } from '../../src/membership/messages.js';
import { fleetRecords, HollowFleet } from './hollow-fleet.js';

/** Settings of {@link HollowMembershipFleet}. */
export interface HollowMembershipOptions {
  readonly size: number;
  readonly seed: number;
  readonly loss: number;
  /** Whether all nodes know each other from the start. Default true. */
  readonly isPrefilled?: boolean;
  readonly timing?: MembershipOptions['timing'];
}

/** Hollow nodes that run a membership module each. */
export class HollowMembershipFleet {
  readonly fleet: HollowFleet<MembershipMessage>;
  readonly records: NodeRecord[];
  readonly nodes = new Map<NodeId, Membership>();
  /** Called at each effect that is not a message. */
  onEffect: (observer: NodeRecord, effect: MembershipEffect, now: Milliseconds) => void = () => {};

  constructor(private readonly options: HollowMembershipOptions) {
    const { seed, loss, size, isPrefilled = true } = options;
    this.fleet = new HollowFleet({ seed, loss });
    this.records = [...fleetRecords(size)];
    const initialMembers = isPrefilled ? this.records : [];
    for (const record of [...this.records]) this.start(record, initialMembers);
  }

  get now(): Milliseconds {
    return this.fleet.queue.now;
  }

  /** Starts a node, or a later life of one. */
  start(record: NodeRecord, initialMembers: readonly NodeRecord[] = []): Membership {
    const position = this.records.findIndex((other) => other.node === record.node);
    this.records[position] = record;
    const random = createRandomSource(this.options.seed + position + record.incarnation);
    const timing = this.options.timing ?? {};
    const node = new Membership({ self: record, random, initialMembers, timing });
    this.nodes.set(record.node, node);
    this.fleet.add({
      record,
      receive: (from, message, now) => this.carry(record, node.receive(from, message, now)),
      tick: (now) => this.carry(record, node.tick(now)),
    });
    return node;
  }

  /** Lets a node do something and carries what follows. */
  act(
    record: NodeRecord,
    action: (node: Membership, now: Milliseconds) => readonly MembershipEffect[],
  ) {
    const node = this.nodes.get(record.node);
    if (node !== undefined) this.carry(record, action(node, this.now));
  }

  runFor(duration: Milliseconds): void {
    this.fleet.queue.runUntil(this.now + duration);
  }

  private carry(from: NodeRecord, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') this.fleet.send(from, effect);
      else this.onEffect(from, effect, this.now);
    }
  }
}
