/** Messages of the `ledger` module between nodes. */

/** A message of this module. */
export type LedgerMessage = { readonly kind: 'unused' };
