/**
 * A shared store that falls silent for a node while it is cut off: calls end without an answer when their
 * time is over. `StoreLink` turns a node away at once.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import type { SharedStore, StoreFailure } from '../../src/shared-store/shared-store.js';

/** Time after which a call without an answer fails, as the store's client has it. */
const CALL_TIMEOUT: Milliseconds = 900;

const UNKNOWN: StoreFailure = { kind: 'failed', effect: 'unknown' };

/** Wraps a store; what is under way when the cut begins loses its answer too. */
export function cuttableStore(store: SharedStore, isCut: () => boolean): SharedStore {
  const reached = async <Outcome>(
    call: () => Promise<Outcome>,
  ): Promise<Outcome | StoreFailure> => {
    const outcome = isCut() ? undefined : await call();
    if (outcome !== undefined && !isCut()) return outcome;
    await sleep(CALL_TIMEOUT);
    return UNKNOWN;
  };
  return {
    get: (key) => reached(() => store.get(key)),
    range: (prefix, afterKey) => reached(() => store.range(prefix, afterKey)),
    watch: (...watch) => reached(() => store.watch(...watch)),
    commit: (commit) => reached(() => store.commit(commit)),
    grantLease: (ttl) => reached(() => store.grantLease(ttl)),
    renewLease: (lease) => reached(() => store.renewLease(lease)),
    revokeLease: async (lease) => void (await reached(() => store.revokeLease(lease))),
  };
}
