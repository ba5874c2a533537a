/**
 * `wardwing explain`: prints the decisions about a request, step, worker or group with their reasons,
 * from a node or from log files.
 */
import { readdirSync, readFileSync, statSync } from 'node:fs';
import path from 'node:path';
import {
  formatTraceLine,
  type LogLine,
  parseLogLine,
  traceSubject,
} from '../telemetry/log-trace.js';
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import { type Command, type CommandInput, flagText, reportProblems, valueFlag } from './command.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

export const explainCommand: Command = {
  words: 'explain',
  parameters: ['id'],
  summary: 'Show the decisions about a request, step or worker, with their reasons',
  flags: [
    ...CLIENT_FLAGS,
    valueFlag('logs', 'Folder or file with logs of nodes, instead of a request to a node'),
  ],
  examples: ['explain step-17 --endpoint 127.0.0.1:7400', 'explain 9c41d07be2a35f68 --logs logs'],
  async run(input) {
    const logs = flagText(input.flags, 'logs');
    if (logs !== undefined) return explainFromLogs(input, logs);
    const subject = encodeURIComponent(input.parameters[0] ?? '');
    const request = { method: 'GET', path: `/v1/explain/${subject}`, body: null } as const;
    return requestAndPrint(input, request, false);
  },
};

function explainFromLogs(
  { parameters, flags, terminal }: CommandInput,
  location: string,
): ExitCode {
  const lines = readLogs(location);
  if (lines === undefined) {
    const problem = {
      key: '--logs',
      reason: `"${location}" cannot be read`,
      accepted: 'a folder of logs',
    };
    return reportProblems(terminal, [problem]);
  }
  const subject = parameters[0] ?? '';
  const trace = traceSubject(lines, subject);
  const [first] = trace;
  if (first === undefined) {
    terminal.writeError(`none of ${lines.length} lines names "${subject}"`);
    return EXIT_CODES.failed;
  }
  if (flags.json === true) terminal.writeLine(JSON.stringify(trace));
  else for (const line of trace) terminal.writeLine(formatTraceLine(line, first.at));
  return EXIT_CODES.ok;
}

/** Parsed lines of a file or of the files of a folder; `undefined` where they cannot be read. */
function readLogs(location: string): LogLine[] | undefined {
  try {
    const files = statSync(location).isDirectory()
      ? readdirSync(location).map((name) => path.join(location, name))
      : [location];
    return files
      .filter((file) => statSync(file).isFile())
      .flatMap((file) => readFileSync(file, 'utf8').split('\n'))
      .map(parseLogLine)
      .filter((line) => line !== undefined);
  } catch {
    return undefined;
  }
}
