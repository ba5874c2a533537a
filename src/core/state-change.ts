/** The log fields of a state change. */

/** Log fields by name; never with prompts, texts of samples or tokens. */
export type ChangeDetails = Readonly<Record<string, string | number | boolean>>;
