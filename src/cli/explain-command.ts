/**
 * `wardwing explain`: shows what was decided for a request, step, worker or group, and why; asks a
 * node, or reads the logs of nodes from a folder.
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

/** The command. */
export const explainCommand: Command = {
  words: 'explain',
  parameters: ['id'],
  summary: 'Show what was decided for a request, step or worker, and why',
  flags: [...CLIENT_FLAGS, valueFlag('logs', 'Folder or file with logs of nodes, in place of one')],
  examples: ['explain step-17 --endpoint 127.0.0.1:7400', 'explain 9c41d07be2a35f68 --logs logs'],
  async run(input) {
    const logs = flagText(input.flags, 'logs');
    if (logs !== undefined) return explainFromLogs(input, logs);
    const subject = encodeURIComponent(input.parameters[0] ?? '');
    const request = { method: 'GET', path: `/v1/explain/${subject}`, body: null } as const;
    return requestAndPrint(input, request, false);
  },
};

function explainFromLogs({ parameters, flags, terminal }: CommandInput, logs: string): ExitCode {
  const lines = readLogs(logs);
  if (lines === undefined) {
    const problem = {
      key: '--logs',
      reason: `"${logs}" cannot be read`,
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

/** All lines of a file, or of the files of a folder; `undefined` where there is none. */
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
