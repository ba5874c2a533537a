/** Weighted max-min fairness: nobody gets more than asked, and what is left is shared by weight. */
import type { AccountName } from '../core/identity.js';

/** What one account would use, and its weight against the others. */
export interface ShareDemand {
  readonly account: AccountName;
  /** Units asked for. */
  readonly demand: number;
  /** Above 0. */
  readonly weight: number;
}

/**
 * Shares of a capacity by progressive filling (Bertsekas and Gallager, "Data Networks", 1992):
 * the account with the least demand for its weight is served first; shares may be fractions.
 */
export function maxMinShares(
  capacity: number,
  demands: readonly ShareDemand[],
): ReadonlyMap<AccountName, number> {
  const shares = new Map<AccountName, number>();
  const order = [...demands].sort(
    (left, right) => left.demand / left.weight - right.demand / right.weight,
  );
  let left = capacity;
  let weightLeft = order.reduce((sum, entry) => sum + entry.weight, 0);
  for (const { account, demand, weight } of order) {
    const share = Math.min(demand, (left * weight) / weightLeft);
    shares.set(account, share);
    left -= share;
    weightLeft -= weight;
  }
  return shares;
}
