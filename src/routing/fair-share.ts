/** Weighted max-min fairness: no account gets more than its demand; the rest is shared by weight. */
import type { AccountName } from '../core/identity.js';

/** Demand and weight of one account. */
export interface ShareDemand {
  readonly account: AccountName;
  /** Requested units. */
  readonly demand: number;
  /** Above 0. */
  readonly weight: number;
}

/**
 * Shares of a capacity by progressive filling (Bertsekas and Gallager, "Data Networks", 1992):
 * accounts are served in order of demand per weight, lowest first. Shares may be fractions.
 */
export function maxMinShares(
  capacity: number,
  demands: readonly ShareDemand[],
): ReadonlyMap<AccountName, number> {
  const shares = new Map<AccountName, number>();
  const order = [...demands].sort(
    (left, right) => left.demand / left.weight - right.demand / right.weight,
  );
  let remaining = capacity;
  let remainingWeight = order.reduce((sum, entry) => sum + entry.weight, 0);
  for (const { account, demand, weight } of order) {
    const share = Math.min(demand, (remaining * weight) / remainingWeight);
    shares.set(account, share);
    remaining -= share;
    remainingWeight -= weight;
  }
  return shares;
}
