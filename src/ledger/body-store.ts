/**
 * Bodies held by one replica of a shard, named by shard key and digest, within a limit of bytes
 * that all shards of a node share.
 */
import { contentDigest } from '../core/hashing.js';
import type { Milliseconds } from '../core/units.js';
import type { ReplicaDisk } from './disk-bodies.js';
import { type BodyName, bodyNameKey } from './messages.js';

/** Counts bytes of bodies over all shards of one node, against a limit. */
export interface BodyBudget {
  bytes: number;
  readonly limit: number;
}

interface StoredBody extends BodyName {
  readonly body: string;
  readonly bytes: number;
  readonly expiresAt: Milliseconds;
}

/** How storing a body ended. */
export type StoreResult = 'stored' | 'full' | 'removed' | 'corrupt';

/** Bodies of one shard on one node. */
export class BodyStore {
  /** Oldest first. */
  readonly #bodies = new Map<string, StoredBody>();
  /** Names or whole shard keys that were removed, with the time until which that is known. */
  readonly #removed = new Map<string, Milliseconds>();
  readonly #budget: BodyBudget;
  readonly #disk: ReplicaDisk | null;

  constructor(budget: BodyBudget, disk: ReplicaDisk | null = null) {
    this.#budget = budget;
    this.#disk = disk;
  }

  /** Stores a body; one with a wrong digest, removed or beyond the limit is not stored. */
  store(name: BodyName, body: string, expiresAt: Milliseconds): StoreResult {
    const key = bodyNameKey(name);
    if (this.#bodies.has(key)) return 'stored';
    if (this.isRemoved(name)) return 'removed';
    const bytes = Buffer.byteLength(body);
    if (this.#budget.bytes + bytes > this.#budget.limit) return 'full';
    if (contentDigest(body) !== name.digest) return 'corrupt';
    const { shardKey, digest } = name;
    this.#bodies.set(key, { shardKey, digest, body, bytes, expiresAt });
    this.#budget.bytes += bytes;
    this.#disk?.stored({ shardKey, digest }, body);
    return 'stored';
  }

  /** The body, or `null` where it is not held. */
  fetch(name: BodyName): string | null {
    return this.#bodies.get(bodyNameKey(name))?.body ?? null;
  }

  /** Whether a body is held. */
  has(name: BodyName): boolean {
    return this.#bodies.has(bodyNameKey(name));
  }

  /** Whether a body was removed and must not be stored again. */
  isRemoved(name: BodyName): boolean {
    if (this.#removed.size === 0) return false;
    return this.#removed.has(name.shardKey) || this.#removed.has(bodyNameKey(name));
  }

  /** Names of all bodies, oldest first. */
  names(): BodyName[] {
    return [...this.#bodies.values()].map(({ shardKey, digest }) => ({ shardKey, digest }));
  }

  /** Removes the bodies of a shard key with these digests, or all of them for `null`. */
  remove(shardKey: string, digests: readonly string[] | null, until: Milliseconds): void {
    if (digests !== null) {
      for (const digest of digests) this.#removeName({ shardKey, digest }, until);
      return;
    }
    this.#removed.set(shardKey, until);
    for (const [key, stored] of this.#bodies) {
      if (stored.shardKey === shardKey) this.#delete(key, stored);
    }
  }

  /** Shard keys whose bodies were all removed. */
  removedShardKeys(): string[] {
    return [...this.#removed.keys()].filter((key) => !key.includes('\n'));
  }

  /** Drops bodies and removals past their lifetime. */
  expire(now: Milliseconds): void {
    for (const [key, stored] of this.#bodies) {
      if (stored.expiresAt > now) break;
      this.#delete(key, stored);
    }
    for (const [key, until] of this.#removed) {
      if (until > now) break;
      this.#removed.delete(key);
    }
  }

  /** Drops all bodies; removals stay. */
  clear(): void {
    for (const [key, stored] of this.#bodies) this.#delete(key, stored);
  }

  #removeName(name: BodyName, until: Milliseconds): void {
    const key = bodyNameKey(name);
    this.#removed.set(key, until);
    const stored = this.#bodies.get(key);
    if (stored !== undefined) this.#delete(key, stored);
  }

  #delete(key: string, stored: StoredBody): void {
    this.#bodies.delete(key);
    this.#budget.bytes -= stored.bytes;
    this.#disk?.deleted({ shardKey: stored.shardKey, digest: stored.digest });
  }
}
