/**
 * Messages that wait for one peer: a queue bounded by count and bytes. When it is full the oldest
 * messages are dropped, as the protocols above repeat what still matters.
 */
import type { NodeIdentity } from '../core/identity.js';
import { identityKey } from '../core/identity.js';
import type { PeerMessage } from '../node/peer-message.js';
import { copyWithSize } from './message-copy.js';

/** Bounds of an outbox. */
export interface OutboxLimits {
  readonly maxOutboxMessages: number;
  readonly maxOutboxBytes: number;
  readonly maxBatchBytes: number;
}

/** Messages that travel in one request. */
export interface MessageBatch {
  readonly to: NodeIdentity | null;
  readonly messages: readonly PeerMessage[];
}

interface WaitingMessage {
  readonly to: NodeIdentity | null;
  readonly message: PeerMessage;
  readonly bytes: number;
}

/** A bounded queue of messages to one address. */
export class PeerOutbox {
  readonly #limits: OutboxLimits;
  #waiting: WaitingMessage[] = [];
  #bytes = 0;

  constructor(limits: OutboxLimits) {
    this.#limits = limits;
  }

  /** Whether nothing waits. */
  get isEmpty(): boolean {
    return this.#waiting.length === 0;
  }

  /** Estimated bytes that wait. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Adds a copy of a message and gives the number of messages dropped for it, itself included. */
  add(to: NodeIdentity | null, message: PeerMessage): number {
    const { copy, bytes } = copyWithSize(message);
    if (bytes > this.#limits.maxOutboxBytes) return 1;
    this.#waiting.push({ to, message: copy, bytes });
    this.#bytes += bytes;
    return this.#dropOldest();
  }

  /** Takes the next messages that go to the same life of the peer, up to the batch limit. */
  takeBatch(): MessageBatch | undefined {
    const first = this.#waiting[0];
    if (first === undefined) return undefined;
    let bytes = first.bytes;
    let count = 1;
    for (; count < this.#waiting.length; count += 1) {
      const next = this.#waiting[count];
      if (next === undefined || !sameRecipient(first.to, next.to)) break;
      if (bytes + next.bytes > this.#limits.maxBatchBytes) break;
      bytes += next.bytes;
    }
    const taken = this.#waiting.splice(0, count);
    this.#bytes -= bytes;
    return { to: first.to, messages: taken.map((waiting) => waiting.message) };
  }

  /** Empties the queue and gives the number of messages dropped. */
  clear(): number {
    const dropped = this.#waiting.length;
    this.#waiting = [];
    this.#bytes = 0;
    return dropped;
  }

  #dropOldest(): number {
    const { maxOutboxMessages, maxOutboxBytes } = this.#limits;
    let bytes = this.#bytes;
    let dropped = 0;
    for (const message of this.#waiting) {
      const fits = this.#waiting.length - dropped <= maxOutboxMessages && bytes <= maxOutboxBytes;
      if (fits) break;
      bytes -= message.bytes;
      dropped += 1;
    }
    if (dropped > 0) this.#waiting.splice(0, dropped);
    this.#bytes = bytes;
    return dropped;
  }
}

function sameRecipient(left: NodeIdentity | null, right: NodeIdentity | null): boolean {
  if (left === null || right === null) return left === right;
  return identityKey(left) === identityKey(right);
}
