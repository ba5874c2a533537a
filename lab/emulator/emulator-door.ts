/** One node's way to the emulated store, which may turn this node away and serve the others. */
import type { Milliseconds, Revision } from '../../src/core/units.js';
import type {
  LeaseId,
  SharedStore,
  StoreCommit,
  StoreCommitOutcome,
  StoreFailure,
  StoreGetOutcome,
  StoreGrantOutcome,
  StoreKeepOutcome,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../../src/shared-store/shared-store.js';

const REFUSED: StoreFailure = { kind: 'failed', effect: 'not-done' };

/** The store behind a door that may be closed. */
export class EmulatorDoor implements SharedStore {
  private isClosed = false;
  private readonly watches = new Set<() => void>();

  constructor(private readonly store: SharedStore) {}

  /** Refuses all calls from now on, and ends those that wait. */
  close(): void {
    this.isClosed = true;
    for (const end of this.watches) end();
  }

  /** Lets calls through again. */
  open(): void {
    this.isClosed = false;
  }

  async get(key: string): Promise<StoreGetOutcome> {
    return this.isClosed ? REFUSED : this.store.get(key);
  }

  async range(prefix: string, afterKey?: string): Promise<StoreRangeOutcome> {
    return this.isClosed ? REFUSED : this.store.range(prefix, afterKey);
  }

  async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    if (this.isClosed) return REFUSED;
    const given = new AbortController();
    const end = (): void => given.abort();
    this.watches.add(end);
    signal.addEventListener('abort', end);
    const outcome = await this.store.watch(prefix, after, wait, given.signal);
    this.watches.delete(end);
    signal.removeEventListener('abort', end);
    return this.isClosed ? REFUSED : outcome;
  }

  async commit(commit: StoreCommit): Promise<StoreCommitOutcome> {
    return this.isClosed ? REFUSED : this.store.commit(commit);
  }

  async grantLease(ttl: Milliseconds): Promise<StoreGrantOutcome> {
    return this.isClosed ? REFUSED : this.store.grantLease(ttl);
  }

  async keepLease(lease: LeaseId): Promise<StoreKeepOutcome> {
    return this.isClosed ? REFUSED : this.store.keepLease(lease);
  }

  async endLease(lease: LeaseId): Promise<void> {
    if (!this.isClosed) await this.store.endLease(lease);
  }
}
