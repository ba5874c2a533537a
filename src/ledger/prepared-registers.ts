/**
 * Registers this node has prepared ahead: the ballot a majority promised together with its last
 * acceptance, and the value chosen then. The next change starts with the accept phase.
 */
import type { Ballot } from './ballot.js';

/** A register prepared ahead. */
export interface PreparedRegister<Value> {
  readonly ballot: Ballot;
  readonly value: Value | null;
}

/** Prepared registers, least recently used first, bounded in number. */
export class PreparedRegisters<Value> {
  readonly #registers = new Map<string, PreparedRegister<Value>>();
  readonly #limit: number;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Remembers a register that was prepared ahead. */
  put(name: string, prepared: PreparedRegister<Value>): void {
    this.#registers.delete(name);
    this.#registers.set(name, prepared);
    if (this.#registers.size <= this.#limit) return;
    for (const oldest of this.#registers.keys()) {
      this.#registers.delete(oldest);
      return;
    }
  }

  /** Forgets the register of this name or, where it ends with `/`, all below it. */
  forget(prefix: string): void {
    if (!prefix.endsWith('/')) {
      this.#registers.delete(prefix);
      return;
    }
    for (const name of this.#registers.keys()) {
      if (name.startsWith(prefix)) this.#registers.delete(name);
    }
  }

  /** Takes a register out; its ballot may be used once, and only in its own epoch. */
  take(name: string, epoch: number): PreparedRegister<Value> | undefined {
    const prepared = this.#registers.get(name);
    if (prepared === undefined) return undefined;
    this.#registers.delete(name);
    return prepared.ballot.epoch === epoch ? prepared : undefined;
  }
}

/** The name under which a register is kept while it is prepared. */
export function preparedName(domain: string, shard: number, key: string): string {
  return `${domain}/${shard}/${key}`;
}
