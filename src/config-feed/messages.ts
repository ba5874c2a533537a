/** Messages of the `config-feed` module between nodes. */

/** A message of this module. */
export type ConfigurationFeedMessage = { readonly kind: 'unused' };
