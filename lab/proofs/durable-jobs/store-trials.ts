/** Stores that lack a mechanism, for the trials of the proof. */
import type { SharedStore } from '../../../src/shared-store/shared-store.js';

/** A store whose commits are made whatever their conditions say. */
export function unconditional(store: SharedStore): SharedStore {
  return wrapCommits(store, (commit) => store.commit({ ...commit, expected: [] }));
}

/** A store that writes all keys but the first, the head, by themselves and before it. */
export function pagesApart(store: SharedStore): SharedStore {
  return wrapCommits(store, async (commit) => {
    const [head, ...others] = commit.put ?? [];
    if (head === undefined || others.length === 0) return store.commit(commit);
    const outcome = await store.commit({ expected: [], put: others });
    return outcome.kind === 'committed' ? store.commit({ ...commit, put: [head] }) : outcome;
  });
}

function wrapCommits(store: SharedStore, commit: SharedStore['commit']): SharedStore {
  return {
    get: (key) => store.get(key),
    range: (prefix, after) => store.range(prefix, after),
    watch: (prefix, after, wait, signal) => store.watch(prefix, after, wait, signal),
    commit,
    grantLease: (ttl) => store.grantLease(ttl),
    keepLease: (lease) => store.keepLease(lease),
    endLease: (lease) => store.endLease(lease),
  };
}
