/** What callers ask of the ledger, and what it gives back. */
import type { NodeIdentity, NodeRecord, ZoneName } from '../core/identity.js';
import type { ChangeDetails } from '../core/state-change.js';
import type { Milliseconds } from '../core/units.js';
import type { KeyValueOperation } from '../platform/key-value.js';
import type { DiskRequest } from './disk-bodies.js';
import type { LedgerMessage } from './messages.js';

/** A node as the membership sees it. */
export interface LedgerMember {
  readonly record: NodeRecord;
  readonly alive: boolean;
}

/** A residency domain: zones whose nodes may hold its shards. */
export interface LedgerDomain {
  /** Sorted zone names joined by `+`. */
  readonly name: string;
  readonly zones: readonly ZoneName[];
}

/** What a change function decides about the current value. */
export type LedgerChange<Value> =
  | { readonly kind: 'write'; readonly value: Value }
  | { readonly kind: 'keep' };

/** Fields of every request. Operation ids are unique within one ledger. */
interface LedgerRequest {
  readonly operationId: string;
  readonly domain: string;
  /** Hashed to the shard; registers and bodies of one unit of work share it. */
  readonly shardKey: string;
  readonly deadline: Milliseconds;
}

/** Reads one register. */
export interface ReadRequest extends LedgerRequest {
  readonly key: string;
}

/** Changes one register. */
export interface ChangeRequest<Value> extends LedgerRequest {
  readonly key: string;
  /**
   * Decides on the value read; may be called several times, also on a value that already holds
   * its own earlier change, and so must be idempotent. Has no side effects.
   */
  readonly apply: (current: Value | null) => LedgerChange<Value>;
}

/** Puts a body on a majority of the shard's group. */
export interface StoreBodyRequest extends LedgerRequest {
  readonly body: string;
  readonly digest: string;
}

/** Gets a body from any member of the shard's group. */
export interface FetchBodyRequest extends LedgerRequest {
  readonly digest: string;
}

/** How an operation ended. */
export type LedgerOutcome<Value> =
  | {
      /** The value after the change, agreed by a majority. */
      readonly kind: 'changed';
      readonly value: Value | null;
      /** Whether the last call of `apply` wrote; an earlier attempt may have written before. */
      readonly written: boolean;
    }
  | { readonly kind: 'stored' }
  | { readonly kind: 'body'; readonly body: string }
  | { readonly kind: 'body-missing' }
  | { readonly kind: 'full' }
  | {
      /** No majority answered in time; `mayHaveApplied` is false only where nothing was written. */
      readonly kind: 'unavailable';
      readonly mayHaveApplied: boolean;
    };

/** Something the ledger asks for. */
export type LedgerEffect<Value> =
  | { readonly kind: 'send'; readonly to: NodeIdentity; readonly message: LedgerMessage }
  | {
      readonly kind: 'key-value';
      readonly requestId: string;
      readonly operation: KeyValueOperation;
    }
  | {
      readonly kind: 'completed';
      readonly operationId: string;
      readonly outcome: LedgerOutcome<Value>;
    }
  /** Given by nodes with a disk only. */
  | { readonly kind: 'disk'; readonly request: DiskRequest }
  | {
      readonly kind: 'state-change';
      readonly change: string;
      readonly details: ChangeDetails;
    };

/** A register of a shard this node is active in; its value may not be agreed yet. */
export interface LocalEntry<Value> {
  readonly domain: string;
  readonly shardKey: string;
  readonly key: string;
  readonly value: Value;
}

/** How one replica group stands, as far as this node knows. */
export interface GroupHealth {
  readonly domain: string;
  readonly shard: number;
  readonly epoch: number;
  readonly memberCount: number;
  readonly aliveCount: number;
  /** Members known to be active in the epoch; 0 on nodes that do not follow the group. */
  readonly activeCount: number;
  /** Fewer members alive than the group should have. */
  readonly underStrength: boolean;
  /** No majority of the members is alive. */
  readonly withoutMajority: boolean;
}

/** Counters since the ledger was created. */
export interface LedgerCounters {
  changesCompleted: number;
  operationsUnavailable: number;
  conflicts: number;
  resends: number;
  refusals: number;
  groupChangesDecided: number;
  activations: number;
  /** Bodies fetched from other members during a repair. */
  bodiesRepaired: number;
  /** Bodies read from this node's own disk instead. */
  bodiesLoaded: number;
  /** Bodies on this node's disk that were missing, damaged or read too slowly. */
  bodiesUnreadable: number;
  fullRefusals: number;
}
