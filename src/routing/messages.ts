/** Messages of the `routing` module between nodes. */

/** A message of this module. */
export type WorkerViewMessage = { readonly kind: 'unused' };
