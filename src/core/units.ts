/** Type aliases for numbers with a unit, and unit factors. */

/** A duration, or a time of a node's monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** A number of generated or prompt tokens. */
export type TokenCount = number;

/** A revision of the key-value service; it never decreases. */
export type Revision = number;

/** A weight version of a model, from 1; newer versions are larger. */
export type WeightVersion = number;

export const KIBIBYTE = 1_024;

export const MEBIBYTE = 1_024 * KIBIBYTE;

export const SECOND: Milliseconds = 1_000;

export const MINUTE: Milliseconds = 60 * SECOND;

export const HOUR: Milliseconds = 60 * MINUTE;

export const DAY: Milliseconds = 24 * HOUR;
