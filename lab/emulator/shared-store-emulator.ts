/**
 * A stand-in for the shared store, in memory: revisions, conditional commits, history, leases, and
 * the faults that the real one has. Faults are switched on by tests and experiments.
 */
import type { Milliseconds, Revision } from '../../src/core/units.js';
import {
  type LeaseId,
  NO_LEASE,
  type SharedStore,
  type StoreChange,
  type StoreCommit,
  type StoreCommitOutcome,
  type StoreFailure,
  type StoreGetOutcome,
  type StoreGrantOutcome,
  type StoreItem,
  type StoreRangeOutcome,
  type StoreRenewOutcome,
  type StoreWatchOutcome,
} from '../../src/shared-store/shared-store.js';

/** Whether and how the store answers. */
export type StoreAvailability =
  | 'up'
  /** Every call is refused; nothing is done. */
  | 'refusing'
  /** Calls wait and fail when the store is up again, or are aborted; nothing is done. */
  | 'silent';

/** What becomes of commits whose answer is lost. */
export type LostAnswer =
  | 'applied'
  /** Carried out by {@link SharedStoreEmulator.applyLateCommits}, if the condition still holds. */
  | 'applied-late';

/** Largest value in bytes; a commit with a larger one is refused. */
const VALUE_LIMIT = 1_048_576;

interface StoredItem {
  readonly value: string;
  readonly revision: Revision;
  readonly lease: LeaseId;
}

const NOT_DONE: StoreFailure = { kind: 'failed', effect: 'not-done' };
const UNKNOWN: StoreFailure = { kind: 'failed', effect: 'unknown' };

/** The store. */
export class SharedStoreEmulator implements SharedStore {
  /** Calls so far, by name. */
  readonly calls = new Map<string, number>();
  private readonly items = new Map<string, StoredItem>();
  private history: StoreChange[] = [];
  private compactedTo: Revision = 0;
  private revision: Revision = 0;
  private lastLease: LeaseId = 0;
  private readonly leases = new Set<LeaseId>();
  private availability: StoreAvailability = 'up';
  private readonly waiting = new Set<() => void>();
  private lostAnswers: LostAnswer[] = [];
  private lateCommits: StoreCommit[] = [];
  private areWatchesDeaf = false;

  /** Changes whether the store answers; calls that a silent store held back fail now. */
  setAvailability(availability: StoreAvailability): void {
    this.availability = availability;
    this.wake();
  }

  /** The answers of the next commits are lost. */
  loseAnswers(...kinds: LostAnswer[]): void {
    this.lostAnswers.push(...kinds);
  }

  /** Carries out what was held back, each commit only if its condition still holds. */
  applyLateCommits(): void {
    const commits = this.lateCommits;
    this.lateCommits = [];
    for (const commit of commits) this.apply(commit);
  }

  /** Carries out a commit whose sender got no answer, whether or not the store answers now. */
  applyLate(commit: StoreCommit): StoreCommitOutcome {
    return this.apply(commit);
  }

  /** Watches hear of no change until the history is forgotten. */
  deafenWatches(): void {
    this.areWatchesDeaf = true;
  }

  /** Forgets the history; watches from an older revision learn so. */
  compact(): void {
    this.areWatchesDeaf = false;
    this.compactedTo = this.revision;
    this.history = [];
    this.wake();
  }

  /** All leases run out, with their keys. */
  lapseLeases(): void {
    for (const lease of [...this.leases]) this.dropLease(lease);
  }

  /** One lease runs out, with its keys. */
  lapseLease(lease: LeaseId): void {
    this.dropLease(lease);
  }

  /** Writes a key without a condition, as the operator does. */
  write(key: string, value: string): Revision {
    this.apply({ expected: [], put: [{ key, value }] });
    return this.revision;
  }

  /** Removes a key. */
  erase(key: string): void {
    this.apply({ expected: [], remove: [key] });
  }

  /** The value of a key now. */
  valueOf(key: string): string | undefined {
    return this.items.get(key)?.value;
  }

  /** All keys under a prefix, in order. */
  keys(prefix: string): string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  async get(key: string): Promise<StoreGetOutcome> {
    if (!(await this.answers('get'))) return NOT_DONE;
    const stored = this.items.get(key);
    return { kind: 'item', item: stored === undefined ? undefined : { key, ...stored } };
  }

  async range(prefix: string, afterKey = ''): Promise<StoreRangeOutcome> {
    if (!(await this.answers('range'))) return NOT_DONE;
    const items = this.keys(prefix)
      .filter((key) => key > afterKey)
      .map((key): StoreItem => {
        const stored = this.items.get(key);
        return { key, value: stored?.value ?? '', revision: stored?.revision ?? 0 };
      });
    return { kind: 'items', items, revision: this.revision };
  }

  async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    this.count('watch');
    const limit = Date.now() + wait;
    for (;;) {
      if (signal.aborted || this.availability === 'refusing') return UNKNOWN;
      if (this.areWatchesDeaf && Date.now() >= limit) {
        return { kind: 'changes', changes: [], revision: after };
      }
      if (this.availability === 'up' && !this.areWatchesDeaf) {
        if (after < this.compactedTo) return { kind: 'compacted' };
        const changes = this.history.filter(
          (change) => change.revision > after && change.key.startsWith(prefix),
        );
        if (changes.length > 0 || Date.now() >= limit) {
          return { kind: 'changes', changes, revision: this.revision };
        }
      }
      await this.nextWake(Math.max(1, limit - Date.now()), signal);
    }
  }

  async commit(commit: StoreCommit): Promise<StoreCommitOutcome> {
    if (!(await this.answers('commit'))) return NOT_DONE;
    const isTooLarge = commit.put?.some(({ value }) => Buffer.byteLength(value) > VALUE_LIMIT);
    if (isTooLarge === true) return NOT_DONE;
    const lost = this.lostAnswers.shift();
    if (lost === 'applied-late') {
      this.lateCommits.push(commit);
      return UNKNOWN;
    }
    const outcome = this.apply(commit);
    return lost === undefined ? outcome : UNKNOWN;
  }

  async grantLease(ttl: Milliseconds): Promise<StoreGrantOutcome> {
    if (!(await this.answers('grant'))) return NOT_DONE;
    this.lastLease += 1;
    this.leases.add(this.lastLease);
    return { kind: 'granted', lease: this.lastLease, ttl };
  }

  async renewLease(lease: LeaseId): Promise<StoreRenewOutcome> {
    if (!(await this.answers('keep'))) return NOT_DONE;
    return this.leases.has(lease) ? { kind: 'kept' } : { kind: 'gone' };
  }

  async revokeLease(lease: LeaseId): Promise<void> {
    if (await this.answers('end')) this.dropLease(lease);
  }

  private apply(commit: StoreCommit): StoreCommitOutcome {
    const holds = commit.expected.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) return { kind: 'conflict' };
    const lease = commit.put?.find((put) => (put.lease ?? NO_LEASE) !== NO_LEASE)?.lease;
    if (lease !== undefined && !this.leases.has(lease)) return { kind: 'lease-gone' };
    this.revision += 1;
    for (const put of commit.put ?? []) {
      const stored = { value: put.value, revision: this.revision, lease: put.lease ?? NO_LEASE };
      this.items.set(put.key, stored);
      this.history.push({ key: put.key, value: put.value, revision: this.revision });
    }
    for (const key of commit.remove ?? []) {
      if (!this.items.delete(key)) continue;
      this.history.push({ key, value: undefined, revision: this.revision });
    }
    this.wake();
    return { kind: 'committed', revision: this.revision };
  }

  private dropLease(lease: LeaseId): void {
    this.leases.delete(lease);
    const held = [...this.items].filter(([, item]) => item.lease === lease).map(([key]) => key);
    if (held.length > 0) this.apply({ expected: [], remove: held });
  }

  /** Counts a call; resolves with whether it is answered. */
  private async answers(call: string): Promise<boolean> {
    this.count(call);
    const wasSilent = this.availability === 'silent';
    while (this.availability === 'silent') await this.nextWake();
    return this.availability === 'up' && !wasSilent;
  }

  private count(call: string): void {
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
  }

  private wake(): void {
    const waiting = [...this.waiting];
    this.waiting.clear();
    for (const resume of waiting) resume();
  }

  private nextWake(limit?: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = limit === undefined ? undefined : setTimeout(() => finish(), limit);
      const finish = (): void => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      this.waiting.add(finish);
      signal?.addEventListener('abort', finish);
    });
  }
}
