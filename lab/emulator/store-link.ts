/** One node's way to the shared store, which turns it away at once while it is cut. */
import type {
  SharedStore,
  StoreFailure,
  StoreWatchOutcome,
} from '../../src/shared-store/shared-store.js';

const REFUSED: StoreFailure = { kind: 'failed', effect: 'not-done' };

/** A way to a store that may be cut, while other nodes reach it. */
export class StoreLink implements SharedStore {
  isCut = false;
  /** Whether the node's process has ended: what it still asks here is never answered. */
  hasEnded = false;
  /** Ends each watch that waits. */
  private readonly watches = new Set<() => void>();

  constructor(private readonly store: SharedStore) {}

  get: SharedStore['get'] = (key) => this.pass(() => this.store.get(key));
  range: SharedStore['range'] = (prefix, after) => this.pass(() => this.store.range(prefix, after));
  watch: SharedStore['watch'] = (prefix, after, wait, signal) =>
    this.pass(() => this.watchUntilCut(prefix, after, wait, signal));
  commit: SharedStore['commit'] = (commit) => this.pass(() => this.store.commit(commit));
  grantLease: SharedStore['grantLease'] = (ttl) => this.pass(() => this.store.grantLease(ttl));
  renewLease: SharedStore['renewLease'] = (lease) => this.pass(() => this.store.renewLease(lease));
  revokeLease: SharedStore['revokeLease'] = async (lease) => {
    if (!this.isCut) await this.store.revokeLease(lease);
  };

  /** Turns the node away from now on, also what waits. */
  close(): void {
    this.isCut = true;
    for (const end of this.watches) end();
  }

  /** Lets the node through again. */
  open(): void {
    this.isCut = false;
  }

  private async watchUntilCut(
    ...[prefix, after, wait, signal]: Parameters<SharedStore['watch']>
  ): Promise<StoreWatchOutcome> {
    const given = new AbortController();
    const end = (): void => given.abort();
    this.watches.add(end);
    signal.addEventListener('abort', end);
    const outcome = await this.store.watch(prefix, after, wait, given.signal);
    this.watches.delete(end);
    signal.removeEventListener('abort', end);
    return outcome;
  }

  /** What was asked before a cut is not answered during it either. */
  private async pass<Outcome>(ask: () => Promise<Outcome>): Promise<Outcome | StoreFailure> {
    if (this.hasEnded) return new Promise(() => {});
    if (this.isCut) return REFUSED;
    const outcome = await ask();
    return this.isCut ? { kind: 'failed', effect: 'unknown' } : outcome;
  }
}
