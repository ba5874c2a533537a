/** Counts the requests that workers started for this node, by window and tenant. */
import type { Milliseconds } from '../core/units.js';
import type { TenantName } from '../tenants/tenant.js';
import type { WindowCounts } from './usage-counts.js';
import type { UsageWindows, WindowNumber } from './usage-windows.js';

/** Counts of this node's incarnation. */
export class UsageMeter {
  private readonly counts = new Map<WindowNumber, Map<TenantName, number>>();
  private changes = 0;

  /** `retainedWindows` includes the open window. */
  constructor(
    private readonly windows: UsageWindows,
    private readonly retainedWindows: number,
  ) {}

  /** Rises with each count, so that a sender can detect unsent counts. */
  get revision(): number {
    return this.changes;
  }

  /** Counts a request that a worker started at a steady time. */
  noteBegun(tenant: TenantName, steadyTime: Milliseconds): void {
    const window = this.windows.windowAt(steadyTime);
    const totals = this.counts.get(window) ?? this.open(window);
    totals.set(tenant, (totals.get(tenant) ?? 0) + 1);
    this.changes += 1;
  }

  /** A copy of the totals of the retained windows. */
  totals(): WindowCounts {
    return new Map([...this.counts].map(([window, totals]) => [window, new Map(totals)]));
  }

  private open(window: WindowNumber): Map<TenantName, number> {
    const totals = new Map<TenantName, number>();
    this.counts.set(window, totals);
    const oldest = window - this.retainedWindows + 1;
    for (const number of this.counts.keys()) if (number < oldest) this.counts.delete(number);
    return totals;
  }
}
