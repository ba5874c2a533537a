/** `wardwing publish`: announces a weight version that is available in the weight store. */
import type { SchemaProblem } from '../settings/schema-problems.js';
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import { type Command, reportProblems } from './command.js';

export const publishCommand: Command = {
  words: 'publish',
  parameters: ['model', 'version', 'digest', 'bytes'],
  summary: 'Announce a weight version of a model; versions must increase, repeats have no effect',
  flags: CLIENT_FLAGS,
  examples: ['publish drafts 7 sha256-9f86d081 1048576 --endpoint 127.0.0.1:7400'],
  async run(input) {
    const [model = '', version = '', digest = '', bytes = ''] = input.parameters;
    const problems = [...numberProblems('version', version), ...numberProblems('bytes', bytes)];
    if (problems.length > 0) return reportProblems(input.terminal, problems);
    const path = `/v1/models/${encodeURIComponent(model)}/versions`;
    const body = { version: Number(version), digest, bytes: Number(bytes) };
    return requestAndPrint(input, { method: 'POST', path, body }, true);
  },
};

function numberProblems(key: string, text: string): SchemaProblem[] {
  if (/^[1-9]\d{0,14}$/.test(text)) return [];
  return [
    { key, reason: `"${text}" is not a positive integer`, accepted: 'a whole number above 0' },
  ];
}
