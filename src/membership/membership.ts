/**
 * Membership of the fleet: who is alive, in which zone, and who is on its way out. Probing and
 * gossip run inside a zone (SWIM: Das, Gupta and Motivala, 2002); bridging nodes compare tables
 * between zones, so that the cost of a node stays flat while every node knows every member.
 */
import type { NodeId, NodeRecord, ZoneName } from '../core/identity.js';
import { jittered } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { MachineRecord } from '../platform/worker.js';
import { Confirmation } from './confirmation.js';
import { DigestExchange, REPAIR_JITTER } from './digest-exchange.js';
import { chooseSome, GossipSpreader } from './gossip-spreader.js';
import { MemberIntake } from './member-intake.js';
import { MemberTable } from './member-table.js';
import { EffectList, type MembershipEffect, type MemberView } from './membership-effects.js';
import {
  DEFAULT_MEMBERSHIP_TIMING,
  type MembershipOptions,
  type MembershipTiming,
} from './membership-options.js';
import type { Gossip, MembershipMessage, MemberUpdate } from './messages.js';
import { Prober } from './prober.js';
import { UpdateQueue } from './update-queue.js';
import { ZoneContactTable } from './zone-contact-table.js';

export type { MemberState, MembershipEffect, MemberView } from './membership-effects.js';
export type { MembershipOptions, MembershipTiming } from './membership-options.js';

/** Entries of one page of the answer to a join. */
const TABLE_PAGE_SIZE = 200;

/** Addresses or peers asked at once to join or to be confirmed. */
const CONFIRM_FAN_OUT = 3;

/** The membership module of one node. */
export class Membership {
  private readonly self: NodeRecord;
  private readonly timing: MembershipTiming;
  private readonly table: MemberTable;
  private readonly contacts: ZoneContactTable;
  private readonly intake: MemberIntake;
  private readonly spreader: GossipSpreader;
  private readonly prober: Prober;
  private readonly exchange: DigestExchange;
  private readonly confirmation: Confirmation;
  private readonly effects = new EffectList();
  private seeds: readonly string[] = [];
  /** Acknowledgements count as confirmation from this sequence number on. */
  private confirmFrom = 0;
  private nextUpkeepAt: Milliseconds = 0;
  private cachedMembers: readonly MemberView[] = [];
  private cachedVersion = -1;

  constructor(private readonly options: MembershipOptions) {
    this.self = options.self;
    this.timing = { ...DEFAULT_MEMBERSHIP_TIMING, ...options.timing };
    this.table = new MemberTable(this.timing.bridgesPerZone);
    this.contacts = new ZoneContactTable(this.table);
    const { suspicionTimeout, confirmInterval, updatesPerMessage } = this.timing;
    this.confirmation = new Confirmation(suspicionTimeout, confirmInterval);
    const parts = {
      self: this.self,
      random: options.random,
      timing: this.timing,
      table: this.table,
      queue: new UpdateQueue(updatesPerMessage),
      contacts: this.contacts,
      confirmation: this.confirmation,
      effects: this.effects,
    };
    this.spreader = new GossipSpreader(parts);
    this.intake = new MemberIntake({
      ...parts,
      changedAtHome: (update) => this.exchange.changedAtHome(update),
      declaredDead: () => this.confirmAnew(),
    });
    const apply = (update: MemberUpdate, now: Milliseconds) => this.intake.apply(update, now);
    this.exchange = new DigestExchange({ ...parts, apply });
    this.prober = new Prober({
      ...parts,
      apply,
      assumeDead: (update) => this.intake.assumeDead(update),
      gossipFor: (peer, now) => this.spreader.gossipFor(peer, now),
    });
    this.intake.start(options.initialMembers ?? []);
  }

  /** Rises with each change of the view. */
  get version(): number {
    return this.table.version;
  }

  /** Sets the addresses at which other nodes may be found. */
  seed(addresses: readonly string[], now: Milliseconds): readonly MembershipEffect[] {
    this.seeds = addresses.filter((address) => address !== this.self.address);
    return this.tick(now);
  }

  /** Takes in the machine list: addresses to start from, and first signs of leaving. */
  machineList(machines: readonly MachineRecord[], now: Milliseconds): readonly MembershipEffect[] {
    const leaving = machines.filter((machine) => machine.state === 'leaving');
    this.intake.markListedLeaving(new Set(leaving.flatMap((machine) => machine.nodeAddresses)));
    const live = machines.filter((machine) => machine.state === 'live');
    return this.seed(
      live.flatMap((machine) => machine.nodeAddresses),
      now,
    );
  }

  /** Handles a message of a peer. */
  receive(
    from: NodeRecord,
    message: MembershipMessage,
    now: Milliseconds,
  ): readonly MembershipEffect[] {
    this.checkGap(now);
    if (this.intake.meet(from, now)) {
      this.prober.heardFrom(from.node, now);
      this.intake.withdrawAssumptions();
      this.handle(from, message, now);
    }
    return this.effects.take();
  }

  /** Does what is due. */
  tick(now: Milliseconds): readonly MembershipEffect[] {
    this.checkGap(now);
    if (this.confirmation.isReplaced()) return this.effects.take();
    this.seekConfirmation(now);
    this.prober.tick(now);
    this.exchange.tick(now);
    this.spreader.tick(now);
    this.upkeep(now);
    return this.effects.take();
  }

  /** Announces that this node is stopping. */
  leave(now: Milliseconds): readonly MembershipEffect[] {
    this.intake.leave();
    return this.tick(now);
  }

  /** All members of the fleet, this node included; the same array until the version rises. */
  members(): readonly MemberView[] {
    if (this.cachedVersion !== this.table.version) {
      this.cachedMembers = [...this.table.updates()].map((update) => this.intake.view(update));
      this.cachedVersion = this.table.version;
    }
    return this.cachedMembers;
  }

  /** One member; `undefined` for an unknown node. */
  find(node: NodeId): MemberView | undefined {
    const update = this.table.find(node);
    return update === undefined ? undefined : this.intake.view(update);
  }

  /** Members of a zone that take new work: neither leaving nor dead, by name. */
  liveInZone(zone: ZoneName): readonly NodeRecord[] {
    return this.table.stayingInZone(zone);
  }

  /** Names of all zones with members, sorted. */
  zones(): readonly ZoneName[] {
    return this.table.zones();
  }

  /** Whether a zone's bridging nodes answered lately, as far as is known in this zone. */
  zoneReachable(zone: ZoneName, now: Milliseconds): boolean {
    return zone === this.self.zone || this.contacts.age(zone, now) <= this.timing.zoneSilence;
  }

  /** Whether a peer has confirmed this life since it started, froze or was declared dead. */
  isConfirmed(now: Milliseconds): boolean {
    return this.confirmation.isConfirmed(now);
  }

  private handle(from: NodeRecord, message: MembershipMessage, now: Milliseconds): void {
    switch (message.kind) {
      case 'ping':
        this.takeGossip(message.gossip, from, now);
        this.effects.send(from, {
          kind: 'acknowledge',
          sequence: message.sequence,
          gossip: this.spreader.gossipFor(from, now),
        });
        return;
      case 'ping-request':
        this.takeGossip(message.gossip, from, now);
        this.prober.pingRequested(from, message.sequence, message.target, now);
        return;
      case 'acknowledge':
        this.takeGossip(message.gossip, from, now);
        this.acknowledged(message.sequence, now);
        return;
      case 'negative-acknowledge':
        this.prober.negativelyAcknowledged(message.sequence);
        return;
      case 'updates':
        for (const update of message.updates) this.intake.apply(update, now);
        return;
      case 'table':
        for (const update of message.updates) this.intake.apply(update, now, false);
        return;
      case 'join':
        this.sendTable(from);
        return;
      default:
        this.exchange.receive(from, message, now);
    }
  }

  private acknowledged(sequence: number, now: Milliseconds): void {
    this.prober.acknowledged(sequence, now);
    if (sequence < this.confirmFrom || !this.confirmation.confirm()) return;
    this.effects.logChange('confirmed', {});
  }

  private checkGap(now: Milliseconds): void {
    if (!this.confirmation.wokeAfterGap(now)) return;
    this.prober.reset(now);
    this.confirmAnew();
    this.effects.logChange('woke-after-gap', {});
  }

  /** Only answers to pings sent from now on confirm this life. */
  private confirmAnew(): void {
    this.confirmFrom = this.prober.nextSequence();
  }

  private seekConfirmation(now: Milliseconds): void {
    if (!this.confirmation.isAttemptDue(now)) return;
    const { random } = this.options;
    const peers = this.confirmationPeers();
    if (peers.length === 0 && this.seeds.length === 0) {
      this.confirmation.confirm();
      return;
    }
    for (const peer of chooseSome(peers, CONFIRM_FAN_OUT, random)) this.prober.ping(peer, now);
    if (peers.length > 0 && random.integer(4) > 0) return;
    for (const address of chooseSome(this.seeds, CONFIRM_FAN_OUT, random)) {
      this.effects.sendToAddress(address, { kind: 'join' });
    }
  }

  /** Peers of the own zone; only where there are none, those of other zones. */
  private confirmationPeers(): readonly NodeRecord[] {
    const near = this.othersPresentIn(this.self.zone);
    if (near.length > 0) return near;
    return this.table.zones().flatMap((zone) => this.othersPresentIn(zone));
  }

  private othersPresentIn(zone: ZoneName): readonly NodeRecord[] {
    return this.table.presentInZone(zone).filter((record) => record.node !== this.self.node);
  }

  private sendTable(to: NodeRecord): void {
    const updates = [...this.table.updates()];
    for (let start = 0; start < updates.length; start += TABLE_PAGE_SIZE) {
      const page = updates.slice(start, start + TABLE_PAGE_SIZE);
      this.effects.send(to, { kind: 'table', updates: page });
    }
  }

  private takeGossip(gossip: Gossip, from: NodeRecord, now: Milliseconds): void {
    for (const update of gossip.updates) this.intake.apply(update, now);
    if (from.zone === this.self.zone) this.contacts.merge(gossip.contacts, now);
  }

  /** Rare work: forgetting the dead, and looking for members this node lost sight of. */
  private upkeep(now: Milliseconds): void {
    if (now < this.nextUpkeepAt) return;
    const { repairInterval } = this.timing;
    const { random } = this.options;
    this.nextUpkeepAt = now + jittered(random, repairInterval, REPAIR_JITTER);
    this.intake.forgetDead(this.timing.deadRetention, now);
    for (const dead of chooseSome(this.intake.deadAtHome(), 1, random)) this.prober.ping(dead, now);
    const isCut = this.table.zones().some((zone) => !this.zoneReachable(zone, now));
    if (!isCut) return;
    for (const address of chooseSome(this.seeds, 1, random)) this.exchange.sendDigestTo(address);
  }
}
