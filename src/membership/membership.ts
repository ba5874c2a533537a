/**
 * Membership of the fleet: who is alive, in which zone, and who is on its way out. Probing and
 * gossip run inside a zone (SWIM: Das, Gupta and Motivala, 2002); bridging nodes compare tables
 * between zones, so that the cost of a node stays flat while every node knows every member.
 */
import type { NodeId, NodeRecord, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { MachineRecord } from '../platform/worker.js';
import { Confirmation } from './confirmation.js';
import { DigestExchange } from './digest-exchange.js';
import { MemberTable, sameAbroad, supersedes } from './member-table.js';
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

/** Transmissions on top of those that grow with the zone, so that small zones lose nothing. */
const EXTRA_TRANSMISSIONS = 3;

function aliveUpdate(record: NodeRecord): MemberUpdate {
  return { record, state: 'alive', leaving: false, refutation: 0 };
}

/** The membership module of one node. */
export class Membership {
  private readonly self: NodeRecord;
  private readonly timing: MembershipTiming;
  private readonly table: MemberTable;
  private readonly contacts: ZoneContactTable;
  private readonly queue: UpdateQueue;
  private readonly prober: Prober;
  private readonly exchange: DigestExchange;
  private readonly confirmation: Confirmation;
  private readonly effects = new EffectList();
  private readonly deadSince = new Map<NodeId, Milliseconds>();
  private seeds: readonly string[] = [];
  /** Acknowledgements count as confirmation from this sequence number on. */
  private confirmFrom = 0;
  private nextGossipAt: Milliseconds = 0;
  private nextUpkeepAt: Milliseconds = 0;
  private cachedMembers: readonly MemberView[] = [];
  private cachedVersion = -1;

  constructor(private readonly options: MembershipOptions) {
    this.self = options.self;
    this.timing = { ...DEFAULT_MEMBERSHIP_TIMING, ...options.timing };
    this.table = new MemberTable(this.timing.bridgesPerZone);
    this.contacts = new ZoneContactTable(this.table);
    this.queue = new UpdateQueue(this.timing.updatesPerMessage);
    const { suspicionTimeout, confirmInterval } = this.timing;
    this.confirmation = new Confirmation(suspicionTimeout, confirmInterval);
    const host = {
      self: this.self,
      random: options.random,
      timing: this.timing,
      table: this.table,
      contacts: this.contacts,
      effects: this.effects,
      gossipFor: (peer: NodeRecord, now: Milliseconds) => this.gossipFor(peer, now),
      apply: (update: MemberUpdate, now: Milliseconds) => this.apply(update, now),
    };
    this.prober = new Prober(host);
    this.exchange = new DigestExchange(host);
    for (const record of options.initialMembers ?? []) this.table.store(aliveUpdate(record));
    const own = aliveUpdate(this.self);
    this.table.store(own);
    this.queue.push(own, true);
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
    this.markListedLeaving(new Set(leaving.flatMap((machine) => machine.nodeAddresses)));
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
    if (this.meet(from, now)) this.handle(from, message, now);
    return this.effects.take();
  }

  /** Does what is due. */
  tick(now: Milliseconds): readonly MembershipEffect[] {
    this.checkGap(now);
    if (this.confirmation.isReplaced()) return this.effects.take();
    this.seekConfirmation(now);
    this.prober.tick(now);
    this.exchange.tick(now);
    this.spreadUrgent(now);
    this.upkeep(now);
    return this.effects.take();
  }

  /** Announces that this node is stopping. */
  leave(now: Milliseconds): readonly MembershipEffect[] {
    const own = this.ownUpdate();
    if (!own.leaving) this.raiseOwn({ ...own, leaving: true });
    return this.tick(now);
  }

  /** All members of the fleet, this node included; the same array until the version rises. */
  members(): readonly MemberView[] {
    if (this.cachedVersion !== this.table.version) {
      this.cachedMembers = [...this.table.updates()].map((update) => this.view(update));
      this.cachedVersion = this.table.version;
    }
    return this.cachedMembers;
  }

  find(node: NodeId): MemberView | undefined {
    const update = this.table.find(node);
    return update === undefined ? undefined : this.view(update);
  }

  /** Members of a zone that take new work: neither leaving nor dead, by name. */
  liveInZone(zone: ZoneName): readonly NodeRecord[] {
    return this.table.stayingInZone(zone);
  }

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
          gossip: this.gossipFor(from, now),
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
        for (const update of message.updates) this.apply(update, now);
        return;
      case 'table':
        for (const update of message.updates) this.apply(update, now, false);
        return;
      case 'join':
        this.sendTable(from);
        return;
      default:
        this.exchange.receive(from, message, now);
    }
  }

  /** Notes the sender; false for an earlier life, whose messages do not count. */
  private meet(from: NodeRecord, now: Milliseconds): boolean {
    const known = this.table.find(from.node);
    if (known !== undefined && known.record.incarnation > from.incarnation) {
      this.effects.send(from, { kind: 'updates', updates: [known] });
      return false;
    }
    if (known === undefined || known.record.incarnation < from.incarnation) {
      this.apply(aliveUpdate(from), now);
    }
    this.prober.heardFrom(from.node);
    return true;
  }

  private acknowledged(sequence: number, now: Milliseconds): void {
    this.prober.acknowledged(sequence, now);
    if (sequence < this.confirmFrom || !this.confirmation.confirm()) return;
    this.logChange('confirmed', {});
  }

  private checkGap(now: Milliseconds): void {
    if (!this.confirmation.wokeAfterGap(now)) return;
    this.prober.reset(now);
    this.confirmFrom = this.prober.nextSequence();
    this.logChange('woke-after-gap', {});
  }

  private seekConfirmation(now: Milliseconds): void {
    if (!this.confirmation.isAttemptDue(now)) return;
    const peers = this.confirmationPeers();
    if (peers.length === 0 && this.seeds.length === 0) {
      this.confirmation.confirm();
      return;
    }
    for (const peer of this.choose(peers, CONFIRM_FAN_OUT)) this.prober.ping(peer, now);
    if (peers.length > 0 && this.options.random.integer(4) > 0) return;
    for (const address of this.choose(this.seeds, CONFIRM_FAN_OUT)) {
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

  private choose<Item>(items: readonly Item[], count: number): readonly Item[] {
    if (items.length <= count) return items;
    const chosen = new Set<Item>();
    while (chosen.size < count) {
      chosen.add(items[this.options.random.integer(items.length)] as Item);
    }
    return [...chosen];
  }

  private sendTable(to: NodeRecord): void {
    const updates = [...this.table.updates()];
    for (let start = 0; start < updates.length; start += TABLE_PAGE_SIZE) {
      const page = updates.slice(start, start + TABLE_PAGE_SIZE);
      this.effects.send(to, { kind: 'table', updates: page });
    }
  }

  private gossipFor(peer: NodeRecord, now: Milliseconds): Gossip {
    const updates = this.queue.next(this.retransmitLimit());
    const known = this.table.find(peer.node);
    const mustHear = known !== undefined && known.state !== 'alive' && !updates.includes(known);
    return {
      updates: mustHear ? [...updates, known] : updates,
      contacts: this.contacts.encode(now),
    };
  }

  private takeGossip(gossip: Gossip, from: NodeRecord, now: Milliseconds): void {
    for (const update of gossip.updates) this.apply(update, now);
    if (from.zone === this.self.zone) this.contacts.merge(gossip.contacts, now);
  }

  private retransmitLimit(): number {
    const size = this.table.presentInZone(this.self.zone).length;
    return Math.ceil(this.timing.retransmitFactor * Math.log10(size + 1)) + EXTRA_TRANSMISSIONS;
  }

  /** Takes in an update if it is news; `passOn` says whether the zone should hear of it. */
  private apply(update: MemberUpdate, now: Milliseconds, passOn = true): void {
    if (update.record.node === this.self.node) {
      this.applyToSelf(update, now);
      return;
    }
    const current = this.table.find(update.record.node);
    if (current !== undefined && !supersedes(update, current)) return;
    const before = current === undefined ? null : this.view(current);
    this.table.store(update);
    this.noteDeath(update, now);
    const isNews = !sameAbroad(current, update);
    if (passOn) this.queue.push(update, isNews);
    if (isNews && update.record.zone === this.self.zone) this.exchange.changedAtHome(update);
    this.reportChange(update, before);
  }

  private reportChange(update: MemberUpdate, before: MemberView | null): void {
    const member = this.view(update);
    const isSameLife = before?.record.incarnation === update.record.incarnation;
    if (isSameLife && before.state === member.state) return;
    if (before === null && member.state === 'dead') return;
    this.effects.add({ kind: 'member-changed', member, before: before?.state ?? null });
  }

  private noteDeath(update: MemberUpdate, now: Milliseconds): void {
    if (update.state === 'dead') this.deadSince.set(update.record.node, now);
    else this.deadSince.delete(update.record.node);
  }

  private applyToSelf(update: MemberUpdate, now: Milliseconds): void {
    if (this.confirmation.isReplaced()) return;
    const own = this.ownUpdate();
    if (update.record.incarnation > own.record.incarnation) {
      this.confirmation.replace();
      this.effects.add({ kind: 'declared-dead' });
      this.logChange('replaced-by-later-life', { incarnation: update.record.incarnation });
      return;
    }
    if (!supersedes(update, own)) return;
    if (update.state === 'dead') {
      this.effects.add({ kind: 'declared-dead' });
      this.logChange('declared-dead', { refutation: update.refutation });
      this.confirmation.lose(now);
      this.confirmFrom = this.prober.nextSequence();
    }
    this.raiseOwn({ ...own, refutation: update.refutation });
  }

  /** Spreads a new claim of this node about itself. */
  private raiseOwn(update: MemberUpdate): void {
    const raised = { ...update, refutation: update.refutation + 1 };
    this.table.store(raised);
    this.queue.push(raised, true);
    this.exchange.changedAtHome(raised);
  }

  private ownUpdate(): MemberUpdate {
    return this.table.find(this.self.node) ?? aliveUpdate(this.self);
  }

  private spreadUrgent(now: Milliseconds): void {
    if (now < this.nextGossipAt || !this.queue.hasUrgent()) return;
    this.nextGossipAt = now + this.timing.gossipInterval;
    const peers = this.othersPresentIn(this.self.zone);
    for (const peer of this.choose(peers, this.timing.gossipFanOut)) {
      const updates = this.queue.next(this.retransmitLimit());
      if (updates.length > 0) this.effects.send(peer, { kind: 'updates', updates });
    }
  }

  /** Rare work: forgetting the dead, and looking for members this node lost sight of. */
  private upkeep(now: Milliseconds): void {
    if (now < this.nextUpkeepAt) return;
    const { repairInterval } = this.timing;
    this.nextUpkeepAt = now + repairInterval * (0.75 + 0.5 * this.options.random.fraction());
    this.forgetDead(now);
    for (const dead of this.choose(this.deadAtHome(), 1)) this.prober.ping(dead, now);
    const isCut = this.table.zones().some((zone) => !this.zoneReachable(zone, now));
    if (!isCut) return;
    for (const address of this.choose(this.seeds, 1)) this.exchange.sendDigestTo(address);
  }

  private forgetDead(now: Milliseconds): void {
    for (const [node, since] of this.deadSince) {
      if (now - since < this.timing.deadRetention) continue;
      this.deadSince.delete(node);
      const update = this.table.find(node);
      if (update?.state === 'dead') this.table.remove(update);
    }
  }

  private deadAtHome(): readonly NodeRecord[] {
    const records: NodeRecord[] = [];
    for (const node of this.deadSince.keys()) {
      const update = this.table.find(node);
      if (update?.record.zone === this.self.zone) records.push(update.record);
    }
    return records;
  }

  private markListedLeaving(addresses: ReadonlySet<string>): void {
    const before = this.members();
    this.table.setListedLeaving(addresses);
    for (const view of before) {
      const update = this.table.find(view.record.node);
      if (update !== undefined) this.reportChange(update, view);
    }
  }

  private view(update: MemberUpdate): MemberView {
    return { record: update.record, state: this.table.stateOf(update) };
  }

  private logChange(
    change: string,
    details: Readonly<Record<string, string | number | boolean>>,
  ): void {
    this.effects.add({ kind: 'state-change', change, details });
  }
}
