/**
 * Port to the key-value store that all nodes of a fleet share: linearizable reads, conditional
 * commits, watches and leases. Adapters map it to a wire protocol.
 */
import type { Milliseconds, Revision } from '../core/units.js';

/** Identifies a lease; {@link NO_LEASE} stands for none. */
export type LeaseId = number;

/** Lease of a key that does not expire. */
export const NO_LEASE: LeaseId = 0;

/** Revision that a commit condition expects of a key that does not exist. */
export const ABSENT: Revision = 0;

/** One key of the store. */
export interface StoreItem {
  readonly key: string;
  /** UTF-8 text. */
  readonly value: string;
  /** Revision of the last change. */
  readonly revision: Revision;
}

/** A change reported by a watch; `value` is `undefined` for a removed key. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: Revision;
}

/**
 * A call without a usable answer. `not-done` guarantees that a write had no effect; after `unknown`
 * it may have taken effect, or may still do so later if its conditions hold then.
 */
export type StoreFailure = { readonly kind: 'failed'; readonly effect: 'not-done' | 'unknown' };

/** `item` is `undefined` if the key does not exist. */
export type StoreGetOutcome =
  | { readonly kind: 'item'; readonly item: StoreItem | undefined }
  | StoreFailure;

/** `revision` is that of the store when the read began. */
export type StoreRangeOutcome =
  | { readonly kind: 'items'; readonly items: readonly StoreItem[]; readonly revision: Revision }
  | StoreFailure;

export type StoreWatchOutcome =
  | {
      readonly kind: 'changes';
      readonly changes: readonly StoreChange[];
      /** The next watch continues from here. */
      readonly revision: Revision;
    }
  /** The store no longer has the history from the requested revision on: list the prefix again. */
  | { readonly kind: 'compacted' }
  | StoreFailure;

/** Holds if the last change of the key has this revision. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: Revision;
}

/** A key written by a commit. */
export interface StorePut {
  readonly key: string;
  readonly value: string;
  /** @default NO_LEASE */
  readonly lease?: LeaseId;
}

/** An atomic write, applied only if all conditions hold. */
export interface StoreCommit {
  readonly expected: readonly StoreCondition[];
  readonly put?: readonly StorePut[];
  readonly remove?: readonly string[];
}

export type StoreCommitOutcome =
  | { readonly kind: 'committed'; readonly revision: Revision }
  /** A condition did not hold. */
  | { readonly kind: 'conflict' }
  | { readonly kind: 'lease-gone' }
  | StoreFailure;

export type StoreGrantOutcome =
  | { readonly kind: 'granted'; readonly lease: LeaseId; readonly ttl: Milliseconds }
  | StoreFailure;

/** `gone`: the lease has expired or was revoked. */
export type StoreRenewOutcome =
  | { readonly kind: 'kept' }
  | { readonly kind: 'gone' }
  | StoreFailure;

/** The shared store. No method rejects. */
export interface SharedStore {
  get(key: string): Promise<StoreGetOutcome>;
  /** Reads all keys under a prefix that come after `afterKey`, in key order. */
  range(prefix: string, afterKey?: string): Promise<StoreRangeOutcome>;
  /** Resolves at the first change under the prefix after a revision, or after `wait`. */
  watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome>;
  commit(commit: StoreCommit): Promise<StoreCommitOutcome>;
  grantLease(ttl: Milliseconds): Promise<StoreGrantOutcome>;
  renewLease(lease: LeaseId): Promise<StoreRenewOutcome>;
  revokeLease(lease: LeaseId): Promise<void>;
}
