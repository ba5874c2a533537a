/**
 * One request to the members of a group: who answered, who refused, and when to send it again.
 */
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { LedgerEnvironment, ShardEpoch } from './environment.js';
import { majorityOf } from './group-record.js';
import type { LedgerContent } from './messages.js';

/** A request that is sent until enough members have answered. */
export class Round<Value> {
  readonly request: number;
  readonly members: readonly NodeIdentity[];
  readonly #environment: LedgerEnvironment<Value>;
  readonly #about: ShardEpoch;
  readonly #content: LedgerContent;
  readonly #agreed = new Set<string>();
  readonly #opposed = new Set<string>();
  readonly #quorum: number;
  #interval: Milliseconds;
  #resendAt: Milliseconds;

  /** @param quorum how many must agree; by default a majority of the members asked */
  constructor(
    environment: LedgerEnvironment<Value>,
    about: ShardEpoch,
    members: readonly NodeIdentity[],
    content: LedgerContent,
    now: Milliseconds,
    quorum = majorityOf(members.length),
  ) {
    this.#environment = environment;
    this.#about = about;
    this.#content = content;
    this.members = members;
    this.#quorum = quorum;
    this.request = environment.nextRequest();
    this.#interval = environment.settings.resendInterval;
    this.#resendAt = now + this.#interval;
  }

  /** Sends to the members that live, or to all where no majority seems to live. */
  open(): void {
    const { alive } = this.#environment;
    const living = this.members.filter((member) => alive.has(identityKey(member)));
    const targets = living.length >= this.#quorum ? living : this.members;
    for (const member of targets) this.#send(member);
  }

  /** Sends to one member only: this node itself, else one that lives, else any unanswered. */
  openToOne(): void {
    const { alive, selfKey } = this.#environment;
    const unanswered = this.members.filter((member) => !this.#agreed.has(identityKey(member)));
    const target =
      unanswered.find((member) => identityKey(member) === selfKey) ??
      unanswered.find((member) => alive.has(identityKey(member))) ??
      unanswered[0];
    if (target !== undefined) this.#send(target);
  }

  /** Whether it is time to send again. */
  isDue(now: Milliseconds): boolean {
    return now >= this.#resendAt;
  }

  /** Whether any member opposed. */
  get isOpposed(): boolean {
    return this.#opposed.size > 0;
  }

  /** Sends again to members that have not answered, once the wait is over. */
  tick(now: Milliseconds): void {
    if (!this.isDue(now)) return;
    this.#interval = Math.min(this.#interval * 2, this.#environment.settings.resendLimit);
    this.#resendAt = now + this.#interval;
    for (const member of this.members) {
      const key = identityKey(member);
      if (this.#agreed.has(key) || this.#opposed.has(key)) continue;
      this.#environment.counters.resends += 1;
      this.#send(member);
    }
  }

  /** Notes an answer; false for one that is not from a member or came before. */
  agree(from: string): boolean {
    if (this.#agreed.has(from) || !this.#isMember(from)) return false;
    this.#opposed.delete(from);
    this.#agreed.add(from);
    return true;
  }

  /** Notes that a member will not agree to this request. */
  oppose(from: string): void {
    if (!this.#agreed.has(from) && this.#isMember(from)) this.#opposed.add(from);
  }

  /** Whether as many members agreed as must. */
  get hasMajority(): boolean {
    return this.#agreed.size >= this.#quorum;
  }

  /** Whether all members agreed. */
  get isUnanimous(): boolean {
    return this.#agreed.size === this.members.length;
  }

  /** Whether so many members opposed that too few can agree. */
  get hasFailed(): boolean {
    return this.#opposed.size > 0 && this.members.length - this.#opposed.size < this.#quorum;
  }

  #isMember(key: string): boolean {
    return this.members.some((member) => identityKey(member) === key);
  }

  #send(member: NodeIdentity): void {
    this.#environment.send(member, this.#about, this.request, this.#content);
  }
}
