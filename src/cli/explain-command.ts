/** `wardwing explain`: shows what was decided for a request, step, worker or group, and why. */
import { askAndPrint, CLIENT_FLAGS } from './client-command.js';
import type { Command } from './command.js';

/** The command. */
export const explainCommand: Command = {
  words: 'explain',
  parameters: ['id'],
  summary: 'Show what was decided for a request, step or worker, and why',
  flags: CLIENT_FLAGS,
  examples: ['explain step-17 --endpoint 127.0.0.1:7400'],
  run(input) {
    const subject = encodeURIComponent(input.parameters[0] ?? '');
    const request = { method: 'GET', path: `/v1/explain/${subject}`, body: null } as const;
    return askAndPrint(input, request, false);
  },
};
