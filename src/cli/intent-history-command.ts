/** `wardwing intent history`: shows the changes operators made. */
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import type { Command } from './command.js';

/** The command. */
export const intentHistoryCommand: Command = {
  words: 'intent history',
  parameters: [],
  summary: 'Show who changed what, oldest first',
  flags: CLIENT_FLAGS,
  examples: ['intent history --endpoint 127.0.0.1:7400 --json'],
  run: (input) =>
    requestAndPrint(input, { method: 'GET', path: '/v1/intents/history', body: null }, false),
};
