/** Exit codes of the `wardwing` program; scripts depend on them. */
export const EXIT_CODES = {
  /** Success. */
  ok: 0,
  /** Refused or failed; nothing was changed. */
  failed: 1,
  /** The command line, a settings file or an intent file is invalid; nothing was started or sent. */
  badUsage: 2,
  /** The node could not be reached; nothing was changed. */
  unreachable: 3,
  /** The change may have taken effect, or is not yet active in all zones. */
  outcomeUnknown: 4,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
