/**
 * Units used across the code base. Plain numbers with a name that says what they count.
 */

/** A duration, or a point on a node's own monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** A count of generated or prompt tokens. */
export type TokenCount = number;

/** A revision of the key-value service; only ever rises. */
export type Revision = number;

/** A weight version of a model; 1 is the first, and a newer version is a larger number. */
export type WeightVersion = number;

/** Bytes in one KiB. */
export const KIBIBYTE = 1_024;

/** Bytes in one MiB. */
export const MEBIBYTE = 1_024 * KIBIBYTE;

/** Milliseconds in one second. */
export const SECOND: Milliseconds = 1_000;

/** Milliseconds in one minute. */
export const MINUTE: Milliseconds = 60 * SECOND;
