/** `wardwing intent show`: shows the intents in force at a node. */
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import type { Command } from './command.js';

/** The command. */
export const intentShowCommand: Command = {
  words: 'intent show',
  parameters: [],
  summary: 'Show the intents in force at the node that is asked',
  flags: CLIENT_FLAGS,
  examples: ['intent show --endpoint 127.0.0.1:7400'],
  run: (input) => requestAndPrint(input, { method: 'GET', path: '/v1/intents', body: null }, false),
};
