/** What a command of the `wardwing` program is, and what it is given. */
import type { FlagValues } from '../settings/flags.js';
import type { Environment } from '../settings/load-settings.js';
import { formatProblem, type SchemaProblem } from '../settings/schema-problems.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** The world outside a command, replaced in tests. */
export interface CommandTerminal {
  /** Writes one line for the user or a script. */
  writeLine(text: string): void;
  /** Writes one line about something wrong. */
  writeError(text: string): void;
  readonly environment: Environment;
  /** Resolves after a number of milliseconds. */
  pause(duration: number): Promise<void>;
}

/** One flag of a command. */
export interface CommandFlag {
  readonly name: string;
  readonly help: string;
  /** Whether the flag stands alone, without a value. */
  readonly isSwitch: boolean;
}

/** What a command was called with. */
export interface CommandInput {
  /** Parameters in their order; as many as the command names. */
  readonly parameters: readonly string[];
  readonly flags: FlagValues;
  readonly terminal: CommandTerminal;
}

/** One command. */
export interface Command {
  /** The words that call it, e.g. `intent propose`. */
  readonly words: string;
  /** Names of its parameters; all are required. */
  readonly parameters: readonly string[];
  readonly summary: string;
  readonly flags: readonly CommandFlag[];
  /** Example calls, without the program's name. */
  readonly examples: readonly string[];
  run(input: CommandInput): Promise<ExitCode>;
}

/** A flag that takes a value. */
export function valueFlag(name: string, help: string): CommandFlag {
  return { name, help, isSwitch: false };
}

/** A flag that stands alone. */
export function switchFlag(name: string, help: string): CommandFlag {
  return { name, help, isSwitch: true };
}

/** The value of a flag; `undefined` where it was not given. */
export function flagText(flags: FlagValues, name: string): string | undefined {
  const value = flags[name];
  return value === undefined || value === false ? undefined : String(value);
}

/** Reports problems of a file or of the command line, one a line. */
export function reportProblems(
  terminal: CommandTerminal,
  problems: readonly SchemaProblem[],
): ExitCode {
  for (const problem of problems) terminal.writeError(formatProblem(problem));
  return EXIT_CODES.badUsage;
}
