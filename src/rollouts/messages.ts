/** Messages of the `rollouts` module between nodes. */

/** A message of this module. */
export type RolloutMessage = { readonly kind: 'unused' };
