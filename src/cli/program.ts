/** The `wardwing` program: selects the command, validates its arguments, and runs it. */
import sade from 'sade';
import type { FlagValues } from '../settings/flags.js';
import type { SchemaProblem } from '../settings/schema-problems.js';
import { checkCommand } from './check-command.js';
import { type Command, type CommandTerminal, reportProblems } from './command.js';
import { drainCommand } from './drain-command.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { explainCommand } from './explain-command.js';
import { intentConfirmCommand } from './intent-confirm-command.js';
import { intentHistoryCommand } from './intent-history-command.js';
import { intentProposeCommand } from './intent-propose-command.js';
import { intentShowCommand } from './intent-show-command.js';
import { nodeCommand } from './node-command.js';
import { publishCommand } from './publish-command.js';
import { statusCommand } from './status-command.js';

export const COMMANDS: readonly Command[] = [
  nodeCommand(),
  checkCommand,
  intentProposeCommand,
  intentConfirmCommand,
  intentShowCommand,
  intentHistoryCommand,
  statusCommand,
  explainCommand,
  drainCommand,
  publishCommand,
];

const PROGRAM_NAME = 'wardwing';
const PROGRAM_VERSION = '0.1.0';

/** Flags that the command-line library handles. */
const INFORMATION_FLAGS = ['-h', '--help', '-v', '--version'];

/** Runs the program with its arguments (without interpreter and script); resolves to the exit code. */
export async function runProgram(
  words: readonly string[],
  terminal: CommandTerminal,
  commands: readonly Command[] = COMMANDS,
): Promise<ExitCode> {
  const command = findCommand(words, commands);
  if (command === undefined && !INFORMATION_FLAGS.includes(words[0] ?? '')) {
    const accepted = `${commands.map((known) => known.words).join(', ')}, --help`;
    const reason = `"${words.join(' ')}" names no command`;
    return reportProblems(terminal, [{ key: PROGRAM_NAME, reason, accepted }]);
  }
  const parsed = parseWords(words, command, commands);
  // Without a result, the library has printed the help or the version.
  if (parsed === undefined || command === undefined) return EXIT_CODES.ok;
  const problems = usageProblems(command, parsed);
  if (problems.length > 0) return reportProblems(terminal, problems);
  return command.run({ ...parsed, terminal });
}

/** The command whose words are the first arguments. */
function findCommand(words: readonly string[], commands: readonly Command[]): Command | undefined {
  return commands.find((command) => {
    const commandWords = command.words.split(' ');
    return commandWords.every((word, index) => words[index] === word);
  });
}

/** Arguments as parsed by the library. */
interface ParsedWords {
  readonly parameters: readonly string[];
  readonly flags: FlagValues;
}

function parseWords(
  words: readonly string[],
  command: Command | undefined,
  commands: readonly Command[],
): ParsedWords | undefined {
  const flags = command?.flags ?? [];
  const found = buildProgram(commands).parse(['', '', ...words], {
    lazy: true,
    boolean: flags.filter((flag) => flag.isSwitch).map((flag) => flag.name),
    string: flags.filter((flag) => !flag.isSwitch).map((flag) => flag.name),
  }) as sade.LazyOutput | undefined;
  if (found === undefined) return undefined;
  // The library returns the declared parameters, then an object with flags and extra arguments.
  const received = found.args as readonly unknown[];
  const { _: extra, ...values } = received.at(-1) as { readonly _: readonly string[] };
  const declared = received.slice(0, -1).filter((parameter) => parameter !== undefined);
  return { parameters: [...declared.map(String), ...extra], flags: values };
}

/** Declares parameters as optional, as the library exits the process on a missing required one. */
function buildProgram(commands: readonly Command[]): sade.Sade {
  const program = sade(PROGRAM_NAME).version(PROGRAM_VERSION);
  for (const command of commands) {
    const parameters = command.parameters.map((name) => `[${name}]`);
    program.command([command.words, ...parameters].join(' '), command.summary);
    for (const flag of command.flags) program.option(`--${flag.name}`, flag.help);
    for (const example of command.examples) program.example(example);
  }
  return program;
}

function usageProblems(command: Command, parsed: ParsedWords): SchemaProblem[] {
  const { parameters, flags } = parsed;
  const usage = [command.words, ...command.parameters.map((name) => name.toUpperCase())];
  const accepted = `${PROGRAM_NAME} ${usage.join(' ')}`;
  const missing = command.parameters
    .slice(parameters.length)
    .map((key) => ({ key, reason: 'this parameter is missing', accepted }));
  const surplus = parameters
    .slice(command.parameters.length)
    .map((key) => ({ key, reason: 'there is no such parameter', accepted }));
  return [...missing, ...surplus, ...flagProblems(command, flags)];
}

function flagProblems(command: Command, flags: FlagValues): SchemaProblem[] {
  return Object.entries(flags).flatMap(([name, value]) => {
    const flag = command.flags.find((candidate) => candidate.name === name);
    const key = `--${name}`;
    if (flag === undefined) {
      const accepted = command.flags.map((flag) => `--${flag.name}`).join(', ');
      return [{ key, reason: 'this flag is not known', accepted }];
    }
    if (Array.isArray(value))
      return [{ key, reason: 'the flag is given more than once', accepted: 'one value' }];
    if (flag.isSwitch || value === undefined || value !== '') return [];
    return [{ key, reason: 'the value of the flag is missing', accepted: flag.help }];
  });
}
