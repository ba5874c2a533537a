/**
 * Copies a message when it is handed over and estimates its encoded size in the same walk. So what
 * the sender changes later does not show, and an outbox can be bounded in bytes although a whole
 * batch is encoded at once.
 */

/** Bytes counted for a number, a boolean, `null` or `undefined`. */
const SCALAR_BYTES = 8;

/** Bytes counted for an object or array besides its members. */
const CONTAINER_BYTES = 2;

/** Bytes counted for a text, a member's name or an element besides its own size. */
const MEMBER_BYTES = 4;

/** A copy and its size. */
export interface SizedCopy<Value> {
  readonly copy: Value;
  /** Estimated bytes when encoded. */
  readonly bytes: number;
}

/**
 * Copies plain data: scalars, arrays, maps, sets, byte arrays and objects without a class. Throws a
 * `TypeError` for anything else; values must not hold cycles.
 */
export function copyWithSize<Value>(value: Value): SizedCopy<Value> {
  const walk = new CopyWalk();
  const copy = walk.copy(value) as Value;
  return { copy, bytes: walk.bytes };
}

/** One walk through a value. */
class CopyWalk {
  /** Estimated size of what was copied so far. */
  bytes = 0;

  /** Copies one value and all below it. */
  copy(value: unknown): unknown {
    if (typeof value === 'string') {
      this.bytes += Buffer.byteLength(value) + MEMBER_BYTES;
      return value;
    }
    if (typeof value === 'function' || typeof value === 'symbol') throw notPlain(typeof value);
    if (typeof value === 'object' && value !== null) return this.#copyObject(value);
    this.bytes += SCALAR_BYTES;
    return value;
  }

  #copyObject(value: object): unknown {
    this.bytes += CONTAINER_BYTES;
    if (Array.isArray(value)) return value.map((element) => this.#copyElement(element));
    if (value instanceof Map) return new Map([...value].map((entry) => this.#copyEntry(entry)));
    if (value instanceof Set) return new Set([...value].map((member) => this.#copyElement(member)));
    if (value instanceof Uint8Array) {
      this.bytes += value.byteLength;
      return Uint8Array.from(value);
    }
    return this.#copyMembers(value);
  }

  #copyElement(element: unknown): unknown {
    this.bytes += MEMBER_BYTES;
    return this.copy(element);
  }

  #copyEntry([key, member]: [unknown, unknown]): [unknown, unknown] {
    return [this.#copyElement(key), this.#copyElement(member)];
  }

  #copyMembers(value: object): object {
    const prototype: unknown = Object.getPrototypeOf(value);
    if (prototype !== Object.prototype && prototype !== null) {
      throw notPlain(`an object of class ${value.constructor.name}`);
    }
    const copy: Record<string, unknown> = {};
    for (const [name, member] of Object.entries(value)) {
      if (name === '__proto__') throw notPlain('a member named __proto__');
      this.bytes += name.length + MEMBER_BYTES;
      copy[name] = this.copy(member);
    }
    return copy;
  }
}

function notPlain(found: string): TypeError {
  return new TypeError(`a message must be plain data, not ${found}`);
}
