/** `wardwing status`: shows the state of the fleet as a node sees it. */
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import type { Command } from './command.js';

/** The command. */
export const statusCommand: Command = {
  words: 'status',
  parameters: [],
  summary: 'Show the zones, their nodes, and the revision in force there',
  flags: CLIENT_FLAGS,
  examples: ['status --endpoint 127.0.0.1:7400 --json'],
  run: (input) => requestAndPrint(input, { method: 'GET', path: '/v1/status', body: null }, false),
};
