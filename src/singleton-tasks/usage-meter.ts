/** Counts the requests that workers began to run for this node, by window and tenant. */
import type { Milliseconds } from '../core/units.js';
import type { TenantName } from '../tenants/tenant.js';
import type { WindowCounts } from './usage-counts.js';
import type { UsageWindows, WindowNumber } from './usage-windows.js';

/** Counts of one life of a node. */
export class UsageMeter {
  private readonly counts = new Map<WindowNumber, Map<TenantName, number>>();
  private changes = 0;

  /** The counts of that many windows are kept, the open one among them. */
  constructor(
    private readonly windows: UsageWindows,
    private readonly keptWindows: number,
  ) {}

  /** Rises with each count, so that a sender sees whether it has told the newest. */
  get revision(): number {
    return this.changes;
  }

  /** A worker began to run a request at a steady time. */
  noteBegun(tenant: TenantName, steadyTime: Milliseconds): void {
    const window = this.windows.windowAt(steadyTime);
    const totals = this.counts.get(window) ?? this.open(window);
    totals.set(tenant, (totals.get(tenant) ?? 0) + 1);
    this.changes += 1;
  }

  /** Totals by window, of the windows that are not forgotten. */
  totals(): WindowCounts {
    return new Map([...this.counts].map(([window, totals]) => [window, new Map(totals)]));
  }

  private open(window: WindowNumber): Map<TenantName, number> {
    const totals = new Map<TenantName, number>();
    this.counts.set(window, totals);
    const oldest = window - this.keptWindows + 1;
    for (const number of this.counts.keys()) if (number < oldest) this.counts.delete(number);
    return totals;
  }
}
