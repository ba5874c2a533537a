/** Removals of registers and bodies that are told to a group until all members have answered. */
import type { GroupRecord } from '../config-feed/configuration.js';
import type { Milliseconds } from '../core/units.js';
import type { LedgerEnvironment } from './environment.js';
import type { LedgerContent, LedgerMessage } from './messages.js';
import { Round } from './round.js';

interface Removal<Value> {
  readonly round: Round<Value>;
  readonly until: Milliseconds;
}

/** Removals this node has begun. */
export class Removals<Value> {
  readonly #environment: LedgerEnvironment<Value>;
  readonly #removals = new Map<number, Removal<Value>>();

  constructor(environment: LedgerEnvironment<Value>) {
    this.#environment = environment;
  }

  /** Tells the group of a removal. */
  begin(
    group: GroupRecord,
    content: Extract<LedgerContent, { kind: 'remove' }>,
    now: Milliseconds,
  ): void {
    const round = new Round(this.#environment, group, group.members, content, now);
    const until = now + this.#environment.settings.removalPersistence;
    this.#removals.set(round.request, { round, until });
    round.open();
  }

  /** Takes a member's answer. */
  receive(from: string, message: LedgerMessage): void {
    const removal = this.#removals.get(message.request);
    if (removal === undefined) return;
    removal.round.agree(from);
    if (removal.round.isUnanimous) this.#removals.delete(message.request);
  }

  /** Sends again, and gives up on members that stay silent. */
  tick(now: Milliseconds): void {
    for (const [request, removal] of this.#removals) {
      if (removal.until <= now) this.#removals.delete(request);
      else removal.round.tick(now);
    }
  }
}
