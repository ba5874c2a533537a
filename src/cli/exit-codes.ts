/** Exit codes of the `wardwing` program; scripts rely on them. */
export const EXIT_CODES = {
  /** Done. */
  ok: 0,
  /** Refused, or failed for sure: nothing was changed. */
  failed: 1,
  /** The command line, a settings file or an intent file is wrong; nothing was started or sent. */
  badUsage: 2,
  /** The node could not be reached; nothing was changed. */
  unreachable: 3,
  /** The change may or may not have taken effect, or is not yet seen in force everywhere. */
  outcomeUnknown: 4,
} as const;

/** One exit code. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
