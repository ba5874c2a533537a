/** `wardwing drain`: keeps new work from a node, a worker or a zone, or takes that back. */
import { askAndPrint, CLIENT_FLAGS } from './client-command.js';
import { type Command, flagText, reportProblems, switchFlag, valueFlag } from './command.js';

const TARGET_KINDS = ['node', 'worker', 'zone'];

/** The command. */
export const drainCommand: Command = {
  words: 'drain',
  parameters: ['kind', 'name'],
  summary: 'Give a node, worker or zone no new work; what runs there finishes or moves',
  flags: [
    ...CLIENT_FLAGS,
    switchFlag('undo', 'Take an earlier drain back'),
    valueFlag('reason', 'Why, for the history'),
  ],
  examples: [
    'drain worker model-bench-3 --reason "fan broken" --endpoint 127.0.0.1:7400',
    'drain zone abdali-hall --undo --endpoint 127.0.0.1:7400',
  ],
  async run(input) {
    const [kind = '', name = ''] = input.parameters;
    if (!TARGET_KINDS.includes(kind)) {
      const reason = `"${kind}" cannot be drained`;
      return reportProblems(input.terminal, [
        { key: 'kind', reason, accepted: TARGET_KINDS.join(', ') },
      ]);
    }
    const body = {
      target: { kind, name },
      reason: flagText(input.flags, 'reason') ?? '',
      drained: input.flags.undo !== true,
    };
    return askAndPrint(input, { method: 'POST', path: '/v1/drains', body }, true);
  },
};
