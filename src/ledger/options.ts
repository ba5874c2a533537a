/** Settings of the ledger and their defaults. */
import type { NodeRecord } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import { MEBIBYTE, MINUTE, type Milliseconds, SECOND } from '../core/units.js';
import type { DiskBodyName } from './disk-bodies.js';

/** Settings that have a default. */
export interface LedgerTuning {
  /** Shards of one residency domain; the same on every node. Default 8. */
  readonly shardsPerDomain: number;
  /** Replicas of one group, where enough nodes live. Default 5. */
  readonly replicaCount: number;
  /** First wait before an unanswered message is sent again. Default 100 ms. */
  readonly resendInterval: Milliseconds;
  /** Longest wait between two sends of one message. Default 800 ms. */
  readonly resendLimit: Milliseconds;
  /** Longest wait after the second conflict in a row; doubles up to 8 times this. Default 50 ms. */
  readonly conflictBackoff: Milliseconds;
  /** Whether a won register is prepared again together with its acceptance. Default true. */
  readonly piggybackPrepare: boolean;
  /** Registers kept prepared by this node at most. Default 1,000. */
  readonly preparedLimit: number;
  /** How long a member is dead before it is replaced. Default 3 s. */
  readonly replacementGrace: Milliseconds;
  /** How long no node came or went before members are moved to other zones. Default 30 s. */
  readonly spreadDelay: Milliseconds;
  /** How often groups are checked for members to replace. Default 500 ms. */
  readonly reviewInterval: Milliseconds;
  /** Longest wait for bodies to be copied before the next change of a group. Default 30 s. */
  readonly bodyCatchUpLimit: Milliseconds;
  /** Longest wait for an answer of the key-value service. Default 10 s. */
  readonly keyValueTimeout: Milliseconds;
  /** Bytes of bodies this node holds at most. Default 64 MiB. */
  readonly bodyBytesLimit: number;
  /** How long a body is kept if nobody removes it. Default 60 min. */
  readonly bodyLifetime: Milliseconds;
  /** Registers this node holds at most. Default 200,000. */
  readonly registerLimit: number;
  /** How long a removal is remembered. Default 10 min. */
  readonly tombstoneLifetime: Milliseconds;
  /** How long a removal is sent again to members that have not answered. Default 1 min. */
  readonly removalPersistence: Milliseconds;
  /** Registers in one page of a copy. Default 200. */
  readonly pageEntries: number;
  /** Bodies fetched at once while catching up. Default 8. */
  readonly bodyFetchWindow: number;
  /** Off only in the lab: a new member then votes before it has caught up. Default true. */
  readonly catchUpBeforeVoting: boolean;
  /** Off only in the lab: a body is then stored on one member. Default true. */
  readonly bodyMajority: boolean;
}

/** Settings of a ledger. */
export interface LedgerOptions extends Partial<LedgerTuning> {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  /** Bodies an earlier life left on this node's disk; `null`, the default, without a disk. */
  readonly diskBodies?: readonly DiskBodyName[] | null;
}

/** Settings with all defaults filled in. */
export type LedgerSettings = LedgerTuning & Required<LedgerOptions>;

const DEFAULT_TUNING: LedgerTuning = {
  shardsPerDomain: 8,
  replicaCount: 5,
  resendInterval: 100,
  resendLimit: 800,
  conflictBackoff: 50,
  piggybackPrepare: true,
  preparedLimit: 1_000,
  replacementGrace: 3 * SECOND,
  spreadDelay: 30 * SECOND,
  reviewInterval: 500,
  bodyCatchUpLimit: 30 * SECOND,
  keyValueTimeout: 10 * SECOND,
  bodyBytesLimit: 64 * MEBIBYTE,
  bodyLifetime: 60 * MINUTE,
  registerLimit: 200_000,
  tombstoneLifetime: 10 * MINUTE,
  removalPersistence: MINUTE,
  pageEntries: 200,
  bodyFetchWindow: 8,
  catchUpBeforeVoting: true,
  bodyMajority: true,
};

/** Fills in the defaults. */
export function resolveLedgerOptions(options: LedgerOptions): LedgerSettings {
  return { ...DEFAULT_TUNING, diskBodies: null, ...options };
}
