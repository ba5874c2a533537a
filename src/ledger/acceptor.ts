/**
 * The registers of one replica: the acceptor of CASPaxos (Rystsov, "CASPaxos: Replicated State
 * Machines without logs", 2018), one instance of single-decree Paxos per key. Whether this
 * replica may vote at all in an epoch is decided by {@link Replica}, not here.
 */
import type { Milliseconds } from '../core/units.js';
import { type Ballot, compareBallots, higherBallot } from './ballot.js';
import type { LedgerContent, RegisterEntry } from './messages.js';

/** Counts registers over all shards of one node, against a limit. */
export interface RegisterBudget {
  count: number;
  readonly limit: number;
}

/** What an acceptor answers. */
export type AcceptorAnswer =
  | Extract<LedgerContent, { kind: 'register' | 'accepted' | 'conflict' }>
  | { readonly kind: 'refused'; readonly reason: 'removed' | 'full' };

const ACCEPTED: AcceptorAnswer = { kind: 'accepted' };
const NEVER_ACCEPTED: AcceptorAnswer = { kind: 'register', accepted: null, value: null };

/** Registers of one shard on one node. */
export class Acceptor {
  readonly #entries = new Map<string, RegisterEntry>();
  /** Removed prefixes with the time until which they are remembered, oldest first. */
  readonly #removed = new Map<string, Milliseconds>();
  readonly #budget: RegisterBudget;

  constructor(budget: RegisterBudget) {
    this.#budget = budget;
  }

  /** Answers a read without a promise. */
  read(key: string): AcceptorAnswer {
    if (this.#isRemoved(key)) return { kind: 'refused', reason: 'removed' };
    const entry = this.#entries.get(key);
    if (entry === undefined) return NEVER_ACCEPTED;
    return { kind: 'register', accepted: entry.accepted, value: entry.value };
  }

  /** Promises to accept nothing below the ballot, unless a higher one was promised. */
  prepare(key: string, ballot: Ballot): AcceptorAnswer {
    const refusal = this.#refusalOf(key);
    if (refusal !== undefined) return refusal;
    const entry = this.#entries.get(key);
    if (entry?.promised && compareBallots(ballot, entry.promised) < 0) {
      return { kind: 'conflict', promised: entry.promised };
    }
    const accepted = entry?.accepted ?? null;
    const value = entry?.value ?? null;
    this.#set({ key, shardKey: entry?.shardKey ?? '', promised: ballot, accepted, value });
    return { kind: 'register', accepted, value };
  }

  /** Accepts a value unless a higher ballot was promised; then promises `next`, if given. */
  accept(request: Extract<LedgerContent, { kind: 'accept' }>): AcceptorAnswer {
    const refusal = this.#refusalOf(request.key);
    if (refusal !== undefined) return refusal;
    const entry = this.#entries.get(request.key);
    const { ballot } = request;
    if (entry?.accepted && compareBallots(entry.accepted, ballot) === 0) {
      // A repeat, or a copy taken while catching up: the next ballot is still promised.
      this.#set({ ...entry, promised: higherBallot(entry.promised, request.next) });
      return ACCEPTED;
    }
    if (entry?.promised && compareBallots(ballot, entry.promised) < 0) {
      return { kind: 'conflict', promised: entry.promised };
    }
    const { key, shardKey, value } = request;
    this.#set({ key, shardKey, promised: request.next ?? ballot, accepted: ballot, value });
    return ACCEPTED;
  }

  /** The highest counter promised for a key; 0 for none. A hint for a local proposer. */
  highestCounter(key: string): number {
    return this.#entries.get(key)?.promised?.counter ?? 0;
  }

  /** All registers with an accepted value. */
  accepted(): RegisterEntry[] {
    return [...this.#entries.values()].filter((entry) => entry.accepted !== null);
  }

  /** Takes over a register from another replica if its ballot is higher. */
  merge(entry: RegisterEntry): void {
    if (this.#isRemoved(entry.key)) return;
    const own = this.#entries.get(entry.key);
    if (own !== undefined && compareBallots(own.accepted, entry.accepted) >= 0) return;
    this.#set({ ...entry, promised: entry.accepted });
  }

  /**
   * Removes the register with this key or, where the prefix ends with `/`, all below it. They
   * are not created again until the given time.
   */
  remove(prefix: string, until: Milliseconds): void {
    this.#removed.set(prefix, until);
    if (!prefix.endsWith('/')) {
      this.#delete(prefix);
      return;
    }
    for (const key of this.#entries.keys()) {
      if (key.startsWith(prefix)) this.#delete(key);
    }
  }

  /** Removed prefixes that are still remembered. */
  removedPrefixes(): string[] {
    return [...this.#removed.keys()];
  }

  /** Forgets removals that are older than their lifetime. */
  expire(now: Milliseconds): void {
    for (const [prefix, until] of this.#removed) {
      if (until > now) return;
      this.#removed.delete(prefix);
    }
  }

  /** Forgets all registers; removals stay. */
  clear(): void {
    this.#budget.count -= this.#entries.size;
    this.#entries.clear();
  }

  #set(entry: RegisterEntry): void {
    if (!this.#entries.has(entry.key)) this.#budget.count += 1;
    this.#entries.set(entry.key, entry);
  }

  #delete(key: string): void {
    if (this.#entries.delete(key)) this.#budget.count -= 1;
  }

  #refusalOf(key: string): AcceptorAnswer | undefined {
    if (this.#isRemoved(key)) return { kind: 'refused', reason: 'removed' };
    const isFull = this.#budget.count >= this.#budget.limit && !this.#entries.has(key);
    return isFull ? { kind: 'refused', reason: 'full' } : undefined;
  }

  #isRemoved(key: string): boolean {
    if (this.#removed.size === 0) return false;
    if (this.#removed.has(key)) return true;
    for (let end = key.indexOf('/'); end >= 0; end = key.indexOf('/', end + 1)) {
      if (this.#removed.has(key.slice(0, end + 1))) return true;
    }
    return false;
  }
}
