/**
 * The format of what nodes write for each other: records in the shared store, files of journals,
 * questions. Fields that a build does not know are ignored and kept, and kinds of questions that it
 * does not know are answered as such; only what older builds can't read needs a higher number.
 */
import * as z from 'zod';

/** The number of a format; each later build reads all lower ones. */
export type FormatVersion = number;

/** Of builds whose records tell none. */
export const FIRST_FORMAT: FormatVersion = 1;

/** Of this build. */
export const OWN_FORMAT: FormatVersion = 2;

/** As a record's field. */
export const FORMAT_FIELD = z.number().default(FIRST_FORMAT);
