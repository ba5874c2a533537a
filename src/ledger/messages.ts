/** Messages of the `ledger` module between nodes. */
import type { GroupRecord } from '../config-feed/configuration.js';
import type { Ballot } from './ballot.js';

/** What every message names: the shard, the epoch it is meant for and the receiving life. */
export interface LedgerHeader {
  readonly domain: string;
  readonly shard: number;
  readonly epoch: number;
  /** Identity key of the life that may act on the message. */
  readonly to: string;
  /** Number of the sender's request; an answer repeats it. */
  readonly request: number;
}

/** A register as replicas hand it to one another. */
export interface RegisterEntry {
  readonly key: string;
  readonly shardKey: string;
  readonly promised: Ballot | null;
  readonly accepted: Ballot | null;
  readonly value: unknown;
}

/** Names one body held by a shard. */
export interface BodyName {
  readonly shardKey: string;
  readonly digest: string;
}

/** The name as a map key; a digest has no line break, so it is unique. */
export function bodyNameKey(name: BodyName): string {
  return `${name.shardKey}\n${name.digest}`;
}

/** A removed range of registers or bodies that late messages must not bring back. */
export interface Tombstone {
  readonly kind: 'registers' | 'bodies';
  /** Key prefix of registers, or shard key of bodies. */
  readonly name: string;
}

/** Why a replica did not act on a request. */
export type RefusalReason = 'not-active' | 'removed' | 'full';

/** The content of a message. */
export type LedgerContent =
  | { readonly kind: 'read'; readonly key: string }
  | { readonly kind: 'prepare'; readonly key: string; readonly ballot: Ballot }
  | {
      readonly kind: 'accept';
      readonly key: string;
      readonly shardKey: string;
      readonly ballot: Ballot;
      readonly value: unknown;
      /** A higher ballot that is prepared together with the acceptance; `null` for none. */
      readonly next: Ballot | null;
    }
  | {
      /** Answers `read` and `prepare`. */
      readonly kind: 'register';
      readonly accepted: Ballot | null;
      readonly value: unknown;
    }
  | { readonly kind: 'accepted' }
  | { readonly kind: 'conflict'; readonly promised: Ballot }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      /** Newest group record the replica knows. */
      readonly record: GroupRecord | null;
    }
  | { readonly kind: 'group-record'; readonly record: GroupRecord }
  | {
      readonly kind: 'body-store';
      readonly shardKey: string;
      readonly digest: string;
      readonly body: string;
    }
  | { readonly kind: 'body-stored' }
  | { readonly kind: 'body-fetch'; readonly shardKey: string; readonly digest: string }
  | { readonly kind: 'body'; readonly body: string | null }
  | { readonly kind: 'body-list'; readonly cursor: number }
  | {
      readonly kind: 'body-names';
      readonly cursor: number;
      readonly names: readonly BodyName[];
      readonly last: boolean;
    }
  | {
      /** Asks for a copy of the registers, sealing the epoch before the record's. */
      readonly kind: 'pull';
      readonly record: GroupRecord;
      readonly cursor: number;
    }
  | {
      readonly kind: 'page';
      /** `epoch`: of an active member of the record's epoch; `previous`: of a sealed one. */
      readonly source: 'epoch' | 'previous';
      readonly cursor: number;
      readonly entries: readonly RegisterEntry[];
      readonly tombstones: readonly Tombstone[];
      readonly last: boolean;
    }
  | { readonly kind: 'page-refused'; readonly record: GroupRecord | null }
  | { readonly kind: 'activation-query' }
  | {
      readonly kind: 'activation';
      /** `complete` members also hold all bodies. */
      readonly state: 'catching-up' | 'active' | 'complete';
      readonly record: GroupRecord;
    }
  | {
      readonly kind: 'remove';
      readonly tombstone: Tombstone;
      /** Digests of bodies to remove; `null` for all. */
      readonly digests: readonly string[] | null;
    }
  | { readonly kind: 'removed' };

/** A message of this module. */
export type LedgerMessage = LedgerHeader & LedgerContent;
