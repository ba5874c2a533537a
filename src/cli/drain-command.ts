/** `wardwing drain`: stops new work on a node, a worker or a zone, or undoes that. */
import { DRAIN_KINDS } from '../config-feed/configuration.js';
import { CLIENT_FLAGS, requestAndPrint } from './client-command.js';
import { type Command, flagText, reportProblems, switchFlag, valueFlag } from './command.js';

export const drainCommand: Command = {
  words: 'drain',
  parameters: ['kind', 'name'],
  summary: 'Send no new work to a node, worker or zone; running work finishes or migrates',
  flags: [
    ...CLIENT_FLAGS,
    switchFlag('undo', 'Undo an earlier drain'),
    valueFlag('reason', 'Reason, recorded in the history'),
  ],
  examples: [
    'drain worker drafts-3 --reason "fan broken" --endpoint 127.0.0.1:7400',
    'drain zone hall-a --undo --endpoint 127.0.0.1:7400',
  ],
  async run(input) {
    const [kind = '', name = ''] = input.parameters;
    if (!DRAIN_KINDS.some((known) => known === kind)) {
      const reason = `"${kind}" cannot be drained`;
      return reportProblems(input.terminal, [
        { key: 'kind', reason, accepted: DRAIN_KINDS.join(', ') },
      ]);
    }
    const body = {
      target: { kind, name },
      reason: flagText(input.flags, 'reason') ?? '',
      drained: input.flags.undo !== true,
    };
    return requestAndPrint(input, { method: 'POST', path: '/v1/drains', body }, true);
  },
};
