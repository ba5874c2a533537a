/** Metrics of the calls to a shared store. */
import type { Clock } from '../serving/clock.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { SharedStore } from './shared-store.js';

/**
 * Wraps a store: counts each call by its outcome and times it, except for watches, which wait.
 * `onFailure` is called after a failed call other than a lease renewal, whose caller reports it.
 */
export function meteredStore(
  store: SharedStore,
  metrics: FleetMetrics,
  clock: Clock,
  onFailure: () => void = () => {},
): SharedStore {
  const metered = async <Outcome extends { readonly kind: string }>(
    call: string,
    work: () => Promise<Outcome>,
  ): Promise<Outcome> => {
    const startedAt = clock.now();
    const outcome = await work();
    if (outcome.kind === 'failed' && call !== 'keep') onFailure();
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
