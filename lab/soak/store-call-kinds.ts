/** Kinds of calls to the platform's store that can fail by themselves. */
import { STORE } from '../../platform/names.js';

/** Reads of single keys and of prefixes, waits for changes, and what renews leases or writes. */
export type StoreCallKind = 'read' | 'watch' | 'other';

/** The kind of a call, by the path that it is sent to. */
export function callKindOf(url: string): StoreCallKind {
  const path = url.split('?')[0];
  if (path === STORE.key || path === STORE.range) return 'read';
  return path === STORE.watch ? 'watch' : 'other';
}
