/**
 * The machine feed of one node: a few readers a zone read the platform's machine list, all others
 * get it from peers along a tree. Contents are compared by hash, so any peer can serve any node
 * and a restarted node needs no history.
 */
import { FeedTopology } from '../config-feed/feed-topology.js';
import type { NodeRecord } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { MemberView } from '../membership/membership-effects.js';
import type { MachineRecord } from '../platform/worker.js';
import { HeldPulls } from './held-pulls.js';
import { ListPoller, type PollerRole } from './list-poller.js';
import { contentOf } from './machine-content.js';
import { MachineCopy } from './machine-copy.js';
import {
  DEFAULT_MACHINE_FEED_TIMING,
  type MachineFeedEffect,
  MachineFeedEffectList,
  type MachineFeedOptions,
  type MachineFeedTiming,
} from './machine-feed-effects.js';
import type { MachineFeedMessage } from './messages.js';
import { OwnPulls } from './own-pulls.js';

export type { MachineFeedEffect, MachineFeedOptions } from './machine-feed-effects.js';

/** The machine feed of one node. */
export class MachineFeed {
  private readonly self: NodeRecord;
  private readonly timing: MachineFeedTiming;
  private readonly effects = new MachineFeedEffectList();
  private readonly copy: MachineCopy;
  private readonly topology: FeedTopology;
  private readonly poller: ListPoller;
  private readonly held: HeldPulls;
  private readonly pulls: OwnPulls;
  private isAlone = true;
  /** The array of the last read; an equal one need not be looked at again. */
  private lastRead: readonly MachineRecord[] | null = null;
  private lastReadHash = '';

  constructor(options: MachineFeedOptions) {
    const { self, random } = options;
    this.self = self;
    this.timing = { ...DEFAULT_MACHINE_FEED_TIMING, ...options.timing };
    const { readersPerZone, treeFanOut, parents } = this.timing;
    this.copy = new MachineCopy(this.effects);
    this.topology = new FeedTopology({
      self,
      random,
      watchersPerZone: readersPerZone,
      treeFanOut,
      parents,
    });
    this.poller = new ListPoller(random, this.timing, this.effects);
    this.held = new HeldPulls(this.copy, this.timing, this.effects);
    this.pulls = new OwnPulls(this.copy, this.topology, this.timing, this.effects);
  }

  /** The list as this node has it; empty before any was known. */
  machines(): readonly MachineRecord[] {
    return this.copy.content?.machines ?? [];
  }

  /** Age of the list, in milliseconds; infinite before any was known. */
  age(now: Milliseconds): Milliseconds {
    return this.copy.age(now) ?? Number.POSITIVE_INFINITY;
  }

  /** Takes over a view of the fleet; only staying members of the own zone have a place. */
  membersChanged(members: readonly MemberView[], now: Milliseconds): void {
    const home = members.filter(({ record }) => record.zone === this.self.zone);
    this.topology.setMembers(home);
    const isStaying = ({ state }: MemberView) => state === 'alive' || state === 'suspect';
    const others = home.filter(({ record }) => record.node !== this.self.node);
    const isAlone = !others.some(isStaying);
    if (this.isAlone && !isAlone) this.pulls.noteCompany(now);
    this.isAlone = isAlone;
  }

  /** Takes in the platform's list, read after a `poll` effect. */
  polled(machines: readonly MachineRecord[], now: Milliseconds): readonly MachineFeedEffect[] {
    const asOf = this.poller.answered(now);
    if (machines === this.lastRead && this.lastReadHash === this.copy.content?.hash) {
      this.copy.noteFresh(asOf);
    } else {
      const content = contentOf(machines, this.copy.content);
      this.copy.take(content, asOf);
      this.lastRead = machines;
      this.lastReadHash = content.hash;
    }
    return this.finish(now);
  }

  /** Handles a message of a peer. */
  receive(
    from: NodeRecord,
    message: MachineFeedMessage,
    now: Milliseconds,
  ): readonly MachineFeedEffect[] {
    switch (message.kind) {
      case 'pull':
        this.held.receive(from, message, now);
        break;
      case 'fetch':
        this.held.serve(from, message, now);
        break;
      case 'answer':
        this.pulls.takeAnswer(from, message, now);
        break;
      case 'page':
        this.pulls.takePage(message, now);
        break;
    }
    return this.finish(now);
  }

  /** Does what is due. */
  tick(now: Milliseconds): readonly MachineFeedEffect[] {
    this.poller.tick(this.role(now), now);
    if (!this.isAlone) this.pulls.tick(now);
    return this.finish(now);
  }

  private role(now: Milliseconds): PollerRole {
    if (this.isAlone || this.copy.content === null) return 'seeking';
    if (this.topology.isWatcher) return 'reader';
    const isStale = this.age(now) > this.timing.staleAge;
    return isStale || this.pulls.isSilent(now) ? 'fallback' : 'fed';
  }

  private finish(now: Milliseconds): readonly MachineFeedEffect[] {
    this.held.settle(now);
    return this.effects.take();
  }
}
