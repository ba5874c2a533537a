/**
 * Counts of requests by window and tenant, from many nodes. Each node tells totals, so that a count
 * that arrives twice, or again at another node, changes nothing.
 */
import type { TenantName } from '../tenants/tenant.js';
import type { WindowNumber } from './usage-windows.js';

/** Requests by tenant. */
export type TenantCounts = ReadonlyMap<TenantName, number>;

/** Totals of one life of a node, by window. */
export type WindowCounts = ReadonlyMap<WindowNumber, TenantCounts>;

/** One life of a node, or a record of one. */
export type UsageSource = string;

/** Totals by window of one life of a node. */
export interface SourceCounts {
  readonly source: UsageSource;
  readonly counts: WindowCounts;
}

/** Totals of many nodes. */
export class UsageCounts {
  private readonly bySource = new Map<UsageSource, Map<WindowNumber, TenantCounts>>();

  /** Takes in the totals that a node told; of two totals of one window the larger is the later. */
  merge(source: UsageSource, counts: WindowCounts): void {
    const known = this.bySource.get(source) ?? new Map<WindowNumber, TenantCounts>();
    this.bySource.set(source, known);
    for (const [window, totals] of counts) {
      if (sumOf(totals) >= sumOf(known.get(window))) known.set(window, totals);
    }
  }

  /** Requests of all nodes in a window, by tenant in the order of names. */
  totals(window: WindowNumber): Readonly<Record<TenantName, number>> {
    const sums = new Map<TenantName, number>();
    for (const counts of this.bySource.values()) {
      for (const [tenant, count] of counts.get(window) ?? []) {
        sums.set(tenant, (sums.get(tenant) ?? 0) + count);
      }
    }
    return Object.fromEntries([...sums].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** Nodes that told of requests in a window. */
  sourcesOf(window: WindowNumber): number {
    return [...this.bySource.values()].filter((counts) => counts.has(window)).length;
  }

  /** All totals from a window on, by node. */
  since(window: WindowNumber): SourceCounts[] {
    const recent = [...this.bySource].map(([source, counts]) => ({
      source,
      counts: new Map([...counts].filter(([number]) => number >= window)),
    }));
    return recent.filter(({ counts }) => counts.size > 0);
  }

  /** Forgets the windows before one. */
  forgetBefore(window: WindowNumber): void {
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
