/**
 * Request counts by window and tenant, merged from many nodes. Nodes report totals, so duplicate and
 * reordered reports have no effect.
 */
import type { TenantName } from '../tenants/tenant.js';
import type { WindowNumber } from './usage-windows.js';

/** Requests by tenant. */
export type TenantCounts = ReadonlyMap<TenantName, number>;

/** Totals of one source, by window. */
export type WindowCounts = ReadonlyMap<WindowNumber, TenantCounts>;

/** Identifies the counts of one node incarnation. */
export type UsageSource = string;

/** Totals by window, with their source. */
export interface SourceCounts {
  readonly source: UsageSource;
  readonly counts: WindowCounts;
}

/** Merged totals of many sources. */
export class UsageCounts {
  private readonly bySource = new Map<UsageSource, Map<WindowNumber, TenantCounts>>();

  /** Merges the totals of a source; of two totals of one window, the larger is the later one. */
  merge(source: UsageSource, counts: WindowCounts): void {
    const sourceTotals = this.bySource.get(source) ?? new Map<WindowNumber, TenantCounts>();
    this.bySource.set(source, sourceTotals);
    for (const [window, totals] of counts) {
      if (sumOf(totals) >= sumOf(sourceTotals.get(window))) sourceTotals.set(window, totals);
    }
  }

  /** Requests of all sources in a window, by tenant, sorted by name. */
  totals(window: WindowNumber): Readonly<Record<TenantName, number>> {
    const sums = new Map<TenantName, number>();
    for (const counts of this.bySource.values()) {
      for (const [tenant, count] of counts.get(window) ?? []) {
        sums.set(tenant, (sums.get(tenant) ?? 0) + count);
      }
    }
    return Object.fromEntries([...sums].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** Number of sources with requests in a window. */
  sourcesOf(window: WindowNumber): number {
    return [...this.bySource.values()].filter((counts) => counts.has(window)).length;
  }

  /** All totals from a window on, by source. */
  since(window: WindowNumber): SourceCounts[] {
    const recent = [...this.bySource].map(([source, counts]) => ({
      source,
      counts: new Map([...counts].filter(([number]) => number >= window)),
    }));
    return recent.filter(({ counts }) => counts.size > 0);
  }

  /** Removes the windows before a given window. */
  removeBefore(window: WindowNumber): void {
    for (const [source, counts] of this.bySource) {
      for (const number of counts.keys()) if (number < window) counts.delete(number);
      if (counts.size === 0) this.bySource.delete(source);
    }
  }
}

function sumOf(counts: TenantCounts | undefined): number {
  let sum = 0;
  for (const count of counts?.values() ?? []) sum += count;
  return sum;
}
