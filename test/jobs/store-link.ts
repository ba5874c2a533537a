/** One node's way to the shared store. */
import type { SharedStore, StoreFailure } from '../../src/shared-store/shared-store.js';

const REFUSED: StoreFailure = { kind: 'failed', effect: 'not-done' };

/** A way to a store that may be cut, while other nodes reach it. */
export class StoreLink implements SharedStore {
  isCut = false;

  constructor(private readonly store: SharedStore) {}

  get: SharedStore['get'] = async (key) => (this.isCut ? REFUSED : this.store.get(key));
  range: SharedStore['range'] = async (prefix, after) =>
    this.isCut ? REFUSED : this.store.range(prefix, after);
  watch: SharedStore['watch'] = async (prefix, after, wait, signal) =>
    this.isCut ? REFUSED : this.store.watch(prefix, after, wait, signal);
  commit: SharedStore['commit'] = async (commit) =>
    this.isCut ? REFUSED : this.store.commit(commit);
  grantLease: SharedStore['grantLease'] = async (ttl) => this.store.grantLease(ttl);
  keepLease: SharedStore['keepLease'] = async (lease) => this.store.keepLease(lease);
  endLease: SharedStore['endLease'] = async (lease) => this.store.endLease(lease);
}
