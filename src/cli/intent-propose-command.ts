/** `wardwing intent propose`: sends a draft and prints the plan; changes nothing. */
import type { Result } from 'true-myth';
import { intentSchema } from '../intents/intent-schema.js';
import { parseToml, readText } from '../settings/load-settings.js';
import { checkDocument, type SchemaProblem } from '../settings/schema-problems.js';
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import { type Command, reportProblems } from './command.js';

export const intentProposeCommand: Command = {
  words: 'intent propose',
  parameters: ['file'],
  summary: 'Propose the intent in a TOML file and print the plan; nothing changes until confirmed',
  flags: CLIENT_FLAGS,
  examples: ['intent propose drafts.toml --endpoint 127.0.0.1:7400'],
  async run(input) {
    const draft = readDraft(input.parameters[0] ?? '');
    if (draft.isErr) return reportProblems(input.terminal, draft.error);
    const body = { draft: draft.value };
    return requestAndPrint(input, { method: 'POST', path: '/v1/intents/propose', body }, false);
  },
};

/** Reads and validates an intent file; the node validates it again with the zones of the fleet. */
function readDraft(
  file: string,
): Result<Readonly<Record<string, unknown>>, readonly SchemaProblem[]> {
  return readText(file, 'a file that can be read')
    .andThen((text) => parseToml(file, text))
    .andThen((document) => checkDocument(intentSchema, document).map(() => document));
}
