/** The machine feed within a node: its view of members, and its effects as the node's. */
import type { NodeRecord } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { MachineFeed, type MachineFeedEffect } from '../machine-feed/machine-feed.js';
import type { MachineFeedMessage } from '../machine-feed/messages.js';
import type { Membership } from '../membership/membership.js';
import type { MachineRecord } from '../platform/worker.js';
import type { NodeContext } from './node-context.js';
import type { NodeSettings } from './node-options.js';
import { PeriodicTask } from './periodic-task.js';

/** How often a change of the members is looked for. */
const MEMBERS_INTERVAL: Milliseconds = 500;
/** A reader reads at least this often, so that a leaving machine is known everywhere in 3 s. */
const LONGEST_READ_INTERVAL: Milliseconds = 1_000;
/** State of a machine that stays; stands for every machine where the lab ignores the signal. */
const LIVE: MachineRecord['state'] = 'live';

/** Owns the machine feed of one node. */
export class MachineFeedAdapter {
  private readonly feed: MachineFeed;
  private readonly refresh = new PeriodicTask(MEMBERS_INTERVAL);
  private membershipVersion = -1;

  constructor(
    private readonly settings: NodeSettings,
    private readonly context: NodeContext,
    private readonly membership: Membership,
    private readonly takeMachines: (machines: readonly MachineRecord[]) => void,
  ) {
    const { self, random, machineListInterval } = settings;
    const readInterval = Math.min(machineListInterval, LONGEST_READ_INTERVAL);
    const timing = { readInterval, seekInterval: machineListInterval };
    this.feed = new MachineFeed({ self, random, timing });
  }

  /** Takes in the platform's list. */
  polled(machines: readonly MachineRecord[]): void {
    this.apply(this.feed.polled(machines, this.context.now()));
  }

  /** Handles a message of a peer. */
  receive(from: NodeRecord, message: MachineFeedMessage): void {
    this.apply(this.feed.receive(from, message, this.context.now()));
  }

  /** Does what is due. */
  tick(now: Milliseconds): void {
    if (this.refresh.isDue(now) && this.membershipVersion !== this.membership.version) {
      this.membershipVersion = this.membership.version;
      this.feed.membersChanged(this.membership.members(), now);
    }
    this.apply(this.feed.tick(now));
  }

  private apply(effects: readonly MachineFeedEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send': {
          const { to, address, message } = effect;
          this.context.sendToAddress(to, address, { module: 'machine-feed', body: message });
          break;
        }
        case 'poll':
          this.context.emit({ kind: 'machine-list-poll' });
          break;
        case 'machines':
          this.takeMachines(this.signalled(effect.machines));
          break;
      }
    }
  }

  private signalled(machines: readonly MachineRecord[]): readonly MachineRecord[] {
    if (this.settings.mechanisms['leaving-signal']) return machines;
    return machines.map((machine) => ({ ...machine, state: LIVE }));
  }
}
