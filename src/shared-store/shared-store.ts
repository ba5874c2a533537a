/**
 * The port to the key-value store that all nodes of a fleet share: linearizable reads, conditional
 * commits, watches and leases. An adapter implements it; nothing here names a wire protocol.
 */
import type { Milliseconds, Revision } from '../core/units.js';

/** Number of a lease; `NO_LEASE` stands for none. */
export type LeaseId = number;

/** A key that belongs to no lease. */
export const NO_LEASE: LeaseId = 0;

/** The revision of a key that does not exist, as a condition of a commit. */
export const ABSENT: Revision = 0;

/** One key of the store. */
export interface StoreItem {
  readonly key: string;
  /** UTF-8 text. */
  readonly value: string;
  /** Revision of the last change. */
  readonly revision: Revision;
}

/** One change that a watch reports; a removed key has `value` undefined. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: Revision;
}

/**
 * A call without a usable answer. `not-done` is a promise; after `unknown` a write may have taken
 * effect, or may still do so later if its condition then holds.
 */
export type StoreFailure = { readonly kind: 'failed'; readonly effect: 'not-done' | 'unknown' };

/** Outcome of reading one key. */
export type StoreGetOutcome =
  | { readonly kind: 'item'; readonly item: StoreItem | undefined }
  | StoreFailure;

/** Outcome of reading a prefix whole. */
export type StoreRangeOutcome =
  | { readonly kind: 'items'; readonly items: readonly StoreItem[]; readonly revision: Revision }
  | StoreFailure;

/** Outcome of one watch call. */
export type StoreWatchOutcome =
  | {
      readonly kind: 'changes';
      readonly changes: readonly StoreChange[];
      /** The next watch goes on from here. */
      readonly revision: Revision;
    }
  /** The history from the asked revision on is gone: list the prefix again. */
  | { readonly kind: 'compacted' }
  | StoreFailure;

/** A condition of a commit: the key was last changed at this revision. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: Revision;
}

/** One key that a commit writes. */
export interface StorePut {
  readonly key: string;
  readonly value: string;
  /** @default NO_LEASE */
  readonly lease?: LeaseId;
}

/** A change that is made whole or not at all. */
export interface StoreCommit {
  readonly expected: readonly StoreCondition[];
  readonly put?: readonly StorePut[];
  readonly remove?: readonly string[];
}

/** Outcome of a commit. */
export type StoreCommitOutcome =
  | { readonly kind: 'committed'; readonly revision: Revision }
  /** A condition did not hold. */
  | { readonly kind: 'conflict' }
  | { readonly kind: 'lease-gone' }
  | StoreFailure;

/** Outcome of granting a lease. */
export type StoreGrantOutcome =
  | { readonly kind: 'granted'; readonly lease: LeaseId; readonly ttl: Milliseconds }
  | StoreFailure;

/** Outcome of renewing a lease. */
export type StoreRenewOutcome =
  | { readonly kind: 'kept' }
  | { readonly kind: 'gone' }
  | StoreFailure;

/** The shared store. No method rejects. */
export interface SharedStore {
  get(key: string): Promise<StoreGetOutcome>;
  /** Reads all keys under a prefix that come after `afterKey`, in key order. */
  range(prefix: string, afterKey?: string): Promise<StoreRangeOutcome>;
  /** Waits until something under the prefix changes after a revision, `wait` at most. */
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
