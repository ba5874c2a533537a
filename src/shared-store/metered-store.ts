/** Counts and times the calls to a shared store. */
import type { Clock } from '../serving/clock.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { SharedStore } from './shared-store.js';

/**
 * Wraps a store so that each of its calls is counted by outcome, and timed unless it waits. Failures
 * are told, as they hint that the store is out of reach; renewals of leases tell theirs themselves.
 */
export function meteredStore(
  store: SharedStore,
  metrics: FleetMetrics,
  clock: Clock,
  noteFailure: () => void = () => {},
): SharedStore {
  const metered = async <Outcome extends { readonly kind: string }>(
    call: string,
    work: () => Promise<Outcome>,
  ): Promise<Outcome> => {
    const startedAt = clock.now();
    const outcome = await work();
    if (outcome.kind === 'failed' && call !== 'keep') noteFailure();
    metrics.count('store_calls', { call, outcome: outcome.kind });
    if (call !== 'watch') metrics.observe('store_seconds', { call }, clock.now() - startedAt);
    return outcome;
  };
  return {
    get: (key) => metered('get', () => store.get(key)),
    range: (prefix, afterKey) => metered('range', () => store.range(prefix, afterKey)),
    watch: (prefix, after, wait, signal) =>
      metered('watch', () => store.watch(prefix, after, wait, signal)),
    commit: (commit) => metered('commit', () => store.commit(commit)),
    grantLease: (ttl) => metered('grant', () => store.grantLease(ttl)),
    renewLease: (lease) => metered('keep', () => store.renewLease(lease)),
    revokeLease: (lease) => store.revokeLease(lease),
  };
}
