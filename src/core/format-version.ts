/**
 * The format version of data that nodes exchange: records in the shared store, journal files and
 * requests. Builds preserve unknown fields and answer unknown kinds of requests as unknown, so the
 * version increases only with changes that older builds cannot read or do not follow.
 */
import * as z from 'zod';

/** A format version; a build reads its own version and all lower ones. */
export type FormatVersion = number;

/** The version of records without a version field. */
export const FIRST_FORMAT_VERSION: FormatVersion = 1;

/** The first version whose builds create jobs together with the record of their trainer. */
export const TRAINER_RECORD_FORMAT_VERSION: FormatVersion = 3;

/** The version that this build writes. */
export const CURRENT_FORMAT_VERSION: FormatVersion = TRAINER_RECORD_FORMAT_VERSION;

/** Schema of the version field of a record. */
export const FORMAT_VERSION_FIELD = z.number().default(FIRST_FORMAT_VERSION);
