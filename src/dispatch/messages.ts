/** Messages of the `dispatch` module between nodes. */

/** A message of this module. */
export type DispatchMessage = { readonly kind: 'unused' };
