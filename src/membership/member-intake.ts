/**
 * Takes in updates of members: decides what is news, reports changes to the other modules, and
 * answers claims about this node itself.
 */
import type { NodeId, NodeRecord, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Confirmation } from './confirmation.js';
import { type MemberTable, sameAbroad, supersedes } from './member-table.js';
import type { EffectList, MemberView } from './membership-effects.js';
import type { MemberUpdate } from './messages.js';
import type { UpdateQueue } from './update-queue.js';

/** What the intake works on. */
export interface MemberIntakeParts {
  readonly self: NodeRecord;
  readonly table: MemberTable;
  readonly queue: UpdateQueue;
  readonly confirmation: Confirmation;
  readonly effects: EffectList;
  /** A change that other zones should hear of. */
  changedAtHome(update: MemberUpdate): void;
  /** Others declared this life dead; acknowledgements count anew from here. */
  declaredDead(): void;
}

/** The first claim about a life. */
function aliveUpdate(record: NodeRecord): MemberUpdate {
  return { record, state: 'alive', leaving: false, refutation: 0 };
}

/** Takes in updates on one node. */
export class MemberIntake {
  private readonly deadSince = new Map<NodeId, Milliseconds>();

  constructor(private readonly parts: MemberIntakeParts) {}

  /** Stores members known before the first contact, and this node itself. */
  start(initialMembers: readonly NodeRecord[]): void {
    const { table, queue, self } = this.parts;
    for (const record of initialMembers) table.store(aliveUpdate(record));
    const own = aliveUpdate(self);
    table.store(own);
    queue.push(own, true);
  }

  /** Notes the sender of a message; false for an earlier life, whose messages do not count. */
  meet(from: NodeRecord, now: Milliseconds): boolean {
    const known = this.parts.table.find(from.node);
    if (known !== undefined && known.record.incarnation > from.incarnation) {
      this.parts.effects.send(from, { kind: 'updates', updates: [known] });
      return false;
    }
    if (known === undefined || known.record.incarnation < from.incarnation) {
      this.apply(aliveUpdate(from), now);
    }
    return true;
  }

  /** Takes in an update if it is news; `passOn` says whether the zone should hear of it. */
  apply(received: MemberUpdate, now: Milliseconds, passOn = true): void {
    const { table, queue, self } = this.parts;
    const update = asSeenFrom(self.zone, received);
    if (update.record.node === self.node) {
      this.applyToSelf(update, now);
      return;
    }
    const current = table.find(update.record.node);
    if (current !== undefined && !supersedes(update, current)) return;
    const before = current === undefined ? null : this.view(current);
    table.store(update);
    this.noteDeath(update, now);
    const isNews = !sameAbroad(current, update);
    if (passOn) queue.push(update, isNews);
    if (isNews && update.record.zone === self.zone) this.parts.changedAtHome(update);
    this.reportChange(update, before);
  }

  /** Announces that this node is stopping. */
  leave(): void {
    const own = this.ownUpdate();
    if (!own.leaving) this.raiseOwn({ ...own, leaving: true });
  }

  /** Forgets members that have been dead for the time given. */
  forgetDead(retention: Milliseconds, now: Milliseconds): void {
    for (const [node, since] of this.deadSince) {
      if (now - since < retention) continue;
      this.deadSince.delete(node);
      const update = this.parts.table.find(node);
      if (update?.state === 'dead') this.parts.table.remove(update);
    }
  }

  /** Dead members of the own zone that are still remembered. */
  deadAtHome(): readonly NodeRecord[] {
    const records: NodeRecord[] = [];
    for (const node of this.deadSince.keys()) {
      const update = this.parts.table.find(node);
      if (update?.record.zone === this.parts.self.zone) records.push(update.record);
    }
    return records;
  }

  /** Takes over which addresses the machine list marks as leaving. */
  markListedLeaving(addresses: ReadonlySet<string>): void {
    const { table } = this.parts;
    const before = [...table.updates()].map((update) => ({ update, view: this.view(update) }));
    if (!table.setListedLeaving(addresses)) return;
    for (const { update, view } of before) this.reportChange(update, view);
  }

  /** Treats a member as dead without telling anyone. */
  assumeDead(update: MemberUpdate): void {
    const before = this.view(update);
    this.parts.table.assumeDead(update.record.node);
    this.reportChange(update, before);
  }

  /** Takes back what was assumed while this node heard from nobody. */
  withdrawAssumptions(): void {
    const { table } = this.parts;
    for (const node of table.withdrawAssumptions()) {
      const update = table.find(node);
      if (update !== undefined) this.reportChange(update, { record: update.record, state: 'dead' });
    }
  }

  /** A member as other modules see it. */
  view(update: MemberUpdate): MemberView {
    return { record: update.record, state: this.parts.table.stateOf(update) };
  }

  private reportChange(update: MemberUpdate, before: MemberView | null): void {
    const member = this.view(update);
    const isSameLife = before?.record.incarnation === update.record.incarnation;
    if (isSameLife && before.state === member.state) return;
    if (before === null && member.state === 'dead') return;
    this.parts.effects.add({ kind: 'member-changed', member, before: before?.state ?? null });
  }

  private noteDeath(update: MemberUpdate, now: Milliseconds): void {
    if (update.state === 'dead') this.deadSince.set(update.record.node, now);
    else this.deadSince.delete(update.record.node);
  }

  private applyToSelf(update: MemberUpdate, now: Milliseconds): void {
    const { confirmation, effects } = this.parts;
    if (confirmation.isReplaced()) return;
    const own = this.ownUpdate();
    if (update.record.incarnation > own.record.incarnation) {
      confirmation.replace();
      effects.add({ kind: 'declared-dead' });
      effects.logChange('replaced-by-later-life', { incarnation: update.record.incarnation });
      return;
    }
    if (!supersedes(update, own)) return;
    if (update.state === 'dead') {
      effects.add({ kind: 'declared-dead' });
      effects.logChange('declared-dead', { refutation: update.refutation });
      confirmation.lose(now);
      this.parts.declaredDead();
    }
    this.raiseOwn({ ...own, refutation: update.refutation });
  }

  /** Spreads a new claim of this node about itself. */
  private raiseOwn(update: MemberUpdate): void {
    const raised = { ...update, refutation: update.refutation + 1 };
    this.parts.table.store(raised);
    this.parts.queue.push(raised, true);
    this.parts.changedAtHome(raised);
  }

  private ownUpdate(): MemberUpdate {
    return this.parts.table.find(this.parts.self.node) ?? aliveUpdate(this.parts.self);
  }
}

/**
 * An update as it counts in a zone: a suspicion of another zone's member is that zone's business.
 * Its end would never be heard here, as digests between zones leave suspicion out.
 */
function asSeenFrom(zone: ZoneName, update: MemberUpdate): MemberUpdate {
  const isAbroad = update.record.zone !== zone;
  return isAbroad && update.state === 'suspect' ? { ...update, state: 'alive' } : update;
}
