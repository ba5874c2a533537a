/** `wardwing intent show`: prints the active intents of a node. */
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import type { Command } from './command.js';

export const intentShowCommand: Command = {
  words: 'intent show',
  parameters: [],
  summary: 'Show the active intents of the node',
  flags: CLIENT_FLAGS,
  examples: ['intent show --endpoint 127.0.0.1:7400'],
  run: (input) => requestAndPrint(input, { method: 'GET', path: '/v1/intents', body: null }, false),
};
