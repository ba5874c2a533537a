/** Which members of the newest epoch of each group are known to be active or complete. */
import type { GroupRecord } from '../config-feed/configuration.js';
import { identityKey } from '../core/identity.js';
import { keyOfRecord, majorityOf } from './group-record.js';

/** How far a member has caught up; `complete` members also hold all bodies. */
export type ActivationState = 'catching-up' | 'active' | 'complete';

interface GroupActivations {
  readonly epoch: number;
  readonly states: Map<string, ActivationState>;
}

/** What members have said of themselves. */
export class Activations {
  readonly #groups = new Map<string, GroupActivations>();

  /** Notes what a member said of its epoch. */
  note(record: GroupRecord, member: string, state: ActivationState): void {
    const key = keyOfRecord(record);
    let group = this.#groups.get(key);
    if (group !== undefined && group.epoch > record.epoch) return;
    if (group === undefined || group.epoch < record.epoch) {
      group = { epoch: record.epoch, states: new Map() };
      this.#groups.set(key, group);
    }
    if (group.states.get(member) !== 'complete') group.states.set(member, state);
  }

  /** What a member last said; `undefined` where nothing is known for this epoch. */
  stateOf(record: GroupRecord, member: string): ActivationState | undefined {
    const group = this.#groups.get(keyOfRecord(record));
    return group?.epoch === record.epoch ? group.states.get(member) : undefined;
  }

  /** How many members have got at least as far as the state. */
  count(record: GroupRecord, state: 'active' | 'complete'): number {
    return record.members.filter((member) => {
      const known = this.stateOf(record, identityKey(member));
      return known === 'complete' || known === state;
    }).length;
  }

  /** Whether a majority has got at least as far as the state. */
  hasMajority(record: GroupRecord, state: 'active' | 'complete'): boolean {
    return this.count(record, state) >= majorityOf(record.members.length);
  }
}
