/** A gateway's way to the store on which lists and watches, or reads of single keys, get no answer. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import type { SharedStore, StoreFailure } from '../../src/shared-store/shared-store.js';

/** Time after which a call without an answer fails, as the store's client has it. */
const CALL_TIMEOUT: Milliseconds = 900;

/** What becomes of a kind of calls. */
export type CallEffect = 'answered' | 'refused' | 'silent';

export class HeldStore implements SharedStore {
  /** Effect on lists and watches; those that wait lose their answers too. */
  feeds: CallEffect = 'answered';
  /** Effect on reads of single keys. */
  reads: CallEffect = 'answered';
  /** Reads of single keys so far, by key, with those that get no answer. */
  readonly readCounts = new Map<string, number>();

  constructor(private readonly store: SharedStore) {}

  get: SharedStore['get'] = (key) => {
    this.readCounts.set(key, (this.readCounts.get(key) ?? 0) + 1);
    return this.pass(
      () => this.reads,
      () => this.store.get(key),
    );
  };
  range: SharedStore['range'] = (...range) =>
    this.pass(
      () => this.feeds,
      () => this.store.range(...range),
    );
  watch: SharedStore['watch'] = (...watch) =>
    this.pass(
      () => this.feeds,
      () => this.store.watch(...watch),
    );
  commit: SharedStore['commit'] = (commit) => this.store.commit(commit);
  grantLease: SharedStore['grantLease'] = (ttl) => this.store.grantLease(ttl);
  renewLease: SharedStore['renewLease'] = (lease) => this.store.renewLease(lease);
  revokeLease: SharedStore['revokeLease'] = (lease) => this.store.revokeLease(lease);

  private async pass<Outcome>(
    effect: () => CallEffect,
    call: () => Promise<Outcome>,
  ): Promise<Outcome | StoreFailure> {
    const before = effect();
    if (before === 'refused') return { kind: 'failed', effect: 'not-done' };
    const outcome = before === 'silent' ? undefined : await call();
    if (outcome !== undefined && effect() === 'answered') return outcome;
    await sleep(CALL_TIMEOUT);
    return { kind: 'failed', effect: 'unknown' };
  }
}
