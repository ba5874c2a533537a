/** Messages of the `membership` module between nodes. */

/** A message of this module. */
export type MembershipMessage = { readonly kind: 'unused' };
