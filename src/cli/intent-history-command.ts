/** `wardwing intent history`: prints the changes by operators. */
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import type { Command } from './command.js';

export const intentHistoryCommand: Command = {
  words: 'intent history',
  parameters: [],
  summary: 'Show the changes and who made them, oldest first',
  flags: CLIENT_FLAGS,
  examples: ['intent history --endpoint 127.0.0.1:7400 --json'],
  run: (input) =>
    requestAndPrint(input, { method: 'GET', path: '/v1/intents/history', body: null }, false),
};
