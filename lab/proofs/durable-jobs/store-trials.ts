/** Stores that lack a mechanism, for the trials of the proof. */
import { decodeProgress, JOB_KEYS } from '../../../src/jobs/job-records.js';
import type { SharedStore, StorePut } from '../../../src/shared-store/shared-store.js';

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

/** A store whose kept progress does not say which texts are whole. */
export function forgetsWholeTexts(store: SharedStore): SharedStore {
  const strip = (put: StorePut): StorePut => {
    const progress = put.key.startsWith(JOB_KEYS.progresses)
      ? decodeProgress(put.value)
      : undefined;
    if (progress === undefined) return put;
    const entries = Object.entries(progress).map(([id, { isWhole: _, ...kept }]) => [id, kept]);
    return { ...put, value: JSON.stringify(Object.fromEntries(entries)) };
  };
  return wrapCommits(store, (commit) =>
    store.commit({ ...commit, put: (commit.put ?? []).map(strip) }),
  );
}

/** A store that tells of each whole text that a commit keeps; before the commit is made. */
export function tellsWholeTexts(
  store: SharedStore,
  tell: (job: string, item: string) => void,
): SharedStore {
  return wrapCommits(store, async (commit) => {
    const outcome = await store.commit(commit);
    for (const { key, value } of outcome.kind === 'committed' ? (commit.put ?? []) : []) {
      if (!key.startsWith(JOB_KEYS.progresses)) continue;
      const job = key.slice(JOB_KEYS.progresses.length);
      for (const [item, kept] of Object.entries(decodeProgress(value) ?? {})) {
        if (kept.isWhole === true) tell(job, item);
      }
    }
    return outcome;
  });
}

function wrapCommits(store: SharedStore, commit: SharedStore['commit']): SharedStore {
  return {
    get: (key) => store.get(key),
    range: (prefix, after) => store.range(prefix, after),
    watch: (prefix, after, wait, signal) => store.watch(prefix, after, wait, signal),
    commit,
    grantLease: (ttl) => store.grantLease(ttl),
    renewLease: (lease) => store.renewLease(lease),
    revokeLease: (lease) => store.revokeLease(lease),
  };
}
