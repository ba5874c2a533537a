/** `wardwing status`: prints the state of the fleet according to a node. */
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import type { Command } from './command.js';

export const statusCommand: Command = {
  words: 'status',
  parameters: [],
  summary: 'Show the zones, their nodes, and the active revision of each',
  flags: CLIENT_FLAGS,
  examples: ['status --endpoint 127.0.0.1:7400 --json'],
  run: (input) => requestAndPrint(input, { method: 'GET', path: '/v1/status', body: null }, false),
};
