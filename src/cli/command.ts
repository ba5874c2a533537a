/** The interface of commands of the `wardwing` program. */
import type { FlagValues } from '../settings/flags.js';
import type { Environment } from '../settings/load-settings.js';
import { formatProblem, type SchemaProblem } from '../settings/schema-problems.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** Output, environment and timer of a command; tests replace it. */
export interface CommandTerminal {
  /** Writes one line to standard output. */
  writeLine(text: string): void;
  /** Writes one line to standard error. */
  writeError(text: string): void;
  readonly environment: Environment;
  /** Resolves after a number of milliseconds. */
  pause(duration: number): Promise<void>;
}

/** One flag of a command. */
export interface CommandFlag {
  readonly name: string;
  readonly help: string;
  /** Whether the flag has no value. */
  readonly isSwitch: boolean;
}

/** Parsed arguments of a command. */
export interface CommandInput {
  /** Positional parameters; as many as the command declares. */
  readonly parameters: readonly string[];
  readonly flags: FlagValues;
  readonly terminal: CommandTerminal;
}

export interface Command {
  /** The words that select the command, e.g. `intent propose`. */
  readonly words: string;
  /** Names of the positional parameters; all are required. */
  readonly parameters: readonly string[];
  readonly summary: string;
  readonly flags: readonly CommandFlag[];
  /** Example calls, without the program's name. */
  readonly examples: readonly string[];
  run(input: CommandInput): Promise<ExitCode>;
}

/** A flag with a value. */
export function valueFlag(name: string, help: string): CommandFlag {
  return { name, help, isSwitch: false };
}

/** A flag without a value. */
export function switchFlag(name: string, help: string): CommandFlag {
  return { name, help, isSwitch: true };
}

/** The value of a flag; `undefined` where it is absent. */
export function flagText(flags: FlagValues, name: string): string | undefined {
  const value = flags[name];
  return value === undefined || value === false ? undefined : String(value);
}

/** Prints problems of a file or of the command line, one on each line. */
export function reportProblems(
  terminal: CommandTerminal,
  problems: readonly SchemaProblem[],
): ExitCode {
  for (const problem of problems) terminal.writeError(formatProblem(problem));
  return EXIT_CODES.badUsage;
}
