/** Effects of the membership module, and the list in which one call gathers them. */
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import type { ChangeDetails } from '../core/state-change.js';
import type { MembershipMessage } from './messages.js';

/** State of a member as other modules see it. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** One member of the fleet. */
export interface MemberView {
  readonly record: NodeRecord;
  readonly state: MemberState;
}

/** Something membership wants done or known. */
export type MembershipEffect =
  | {
      readonly kind: 'send';
      readonly to: NodeIdentity | null;
      readonly address: string;
      readonly message: MembershipMessage;
    }
  | {
      readonly kind: 'member-changed';
      readonly member: MemberView;
      readonly before: MemberState | null;
    }
  /** Others hold this life for dead: nothing may be done until it is confirmed again. */
  | { readonly kind: 'declared-dead' }
  | {
      readonly kind: 'state-change';
      readonly change: string;
      readonly details: ChangeDetails;
    };

/** Gathers the effects of one call. */
export class EffectList {
  private effects: MembershipEffect[] = [];

  /** Adds an effect. */
  add(effect: MembershipEffect): void {
    this.effects.push(effect);
  }

  /** Adds a message to one life of a member. */
  send(to: NodeRecord, message: MembershipMessage): void {
    this.add({ kind: 'send', to, address: to.address, message });
  }

  /** Adds a message to whichever node listens at an address. */
  sendToAddress(address: string, message: MembershipMessage): void {
    this.add({ kind: 'send', to: null, address, message });
  }

  /** Adds a change of state for the log. */
  logChange(change: string, details: ChangeDetails): void {
    this.add({ kind: 'state-change', change, details });
  }

  /** Hands over what was gathered and starts anew. */
  take(): readonly MembershipEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }
}
