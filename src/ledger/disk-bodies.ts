/**
 * What the ledger knows of bodies on this node's disk. The disk is a cache: it speeds the repair
 * of bodies after a restart and decides nothing. A node without a disk gives no disk request.
 * See docs/design/storage.md.
 */
import { placementHash } from '../core/hashing.js';
import { type BodyName, bodyNameKey } from './messages.js';

/** Names one body on a disk. */
export interface DiskBodyName extends BodyName {
  readonly domain: string;
}

/** Something to be done on the disk, in the order given. */
export type DiskRequest =
  /** Keep a body; losing it does no harm. */
  | { readonly kind: 'persist'; readonly name: DiskBodyName; readonly body: string }
  /** Delete a body. */
  | { readonly kind: 'forget'; readonly name: DiskBodyName }
  /** Read a body; answered by {@link Ledger.bodyLoaded}. */
  | { readonly kind: 'load'; readonly name: DiskBodyName }
  /** Delete all that belongs to other domains, and refuse their bodies from now on. */
  | { readonly kind: 'keep-domains'; readonly domains: readonly string[] };

/** The disk as one replica's bodies see it. */
export interface ReplicaDisk {
  /** A body was stored in memory. */
  stored(name: BodyName, body: string): void;
  /** A body left memory. */
  deleted(name: BodyName): void;
  /** Asks for a body of the last life; false where none was found, or it was asked for before. */
  load(name: BodyName): boolean;
  /** A body could not be read, so that it must be written anew. */
  unreadable(name: BodyName): void;
  /** All bodies of the shard are known; deletes those that only an earlier life held. */
  complete(): void;
}

/** Settings of {@link DiskBodies}. */
export interface DiskBodiesOptions {
  /** What an earlier life left on the disk; `null` without a disk. */
  readonly found: readonly DiskBodyName[] | null;
  readonly shardsPerDomain: number;
  readonly request: (request: DiskRequest) => void;
}

/** A body of an earlier life that this life has not stored yet. */
interface FoundBody {
  readonly name: BodyName;
  isAsked: boolean;
}

type FoundBodies = Map<string, FoundBody>;

const NO_DISK: ReplicaDisk = {
  stored: () => {},
  deleted: () => {},
  load: () => false,
  unreadable: () => {},
  complete: () => {},
};

function shardName(domain: string, shard: number): string {
  return `${domain}\n${shard}`;
}

/** All bodies on the disk of one node. */
export class DiskBodies {
  readonly #found = new Map<string, FoundBodies>();
  readonly #hasDisk: boolean;
  readonly #request: (request: DiskRequest) => void;

  constructor(options: DiskBodiesOptions) {
    this.#hasDisk = options.found !== null;
    this.#request = options.request;
    for (const { domain, shardKey, digest } of options.found ?? []) {
      const shard = placementHash(shardKey) % options.shardsPerDomain;
      const name = { shardKey, digest };
      this.#foundIn(domain, shard).set(bodyNameKey(name), { name, isAsked: false });
    }
  }

  /** The disk for one replica. */
  forReplica(domain: string, shard: number): ReplicaDisk {
    if (!this.#hasDisk) return NO_DISK;
    const found = this.#foundIn(domain, shard);
    return {
      stored: (name, body) => this.#stored(found, domain, name, body),
      deleted: (name) => this.#request({ kind: 'forget', name: { domain, ...name } }),
      load: (name) => this.#load(found, domain, name),
      unreadable: (name) => {
        found.delete(bodyNameKey(name));
      },
      complete: () => this.#complete(found, domain),
    };
  }

  #foundIn(domain: string, shard: number): FoundBodies {
    const key = shardName(domain, shard);
    let found = this.#found.get(key);
    if (found === undefined) {
      found = new Map();
      this.#found.set(key, found);
    }
    return found;
  }

  #stored(found: FoundBodies, domain: string, name: BodyName, body: string): void {
    const wasFound = found.delete(bodyNameKey(name));
    if (!wasFound) this.#request({ kind: 'persist', name: { domain, ...name }, body });
  }

  #load(found: FoundBodies, domain: string, name: BodyName): boolean {
    const body = found.get(bodyNameKey(name));
    if (body === undefined || body.isAsked) return false;
    body.isAsked = true;
    this.#request({ kind: 'load', name: { domain, ...name } });
    return true;
  }

  #complete(found: FoundBodies, domain: string): void {
    for (const { name } of found.values()) {
      this.#request({ kind: 'forget', name: { domain, ...name } });
    }
    found.clear();
  }
}
