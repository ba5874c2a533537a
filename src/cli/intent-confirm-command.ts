/** `wardwing intent confirm`: applies a plan; `--wait` waits until it is active in all zones. */
import { ACCEPTED_DURATIONS, parseDuration } from '../settings/duration.js';
import { waitUntilActive } from './activation-report.js';
import { CLIENT_FLAGS, clientOf, printDocument, reportFailure } from './client-command.js';
import {
  type Command,
  type CommandInput,
  flagText,
  reportProblems,
  switchFlag,
  valueFlag,
} from './command.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import type { OperatorClient } from './operator-client.js';

const DEFAULT_WAIT_TIMEOUT = '30s';

export const intentConfirmCommand: Command = {
  words: 'intent confirm',
  parameters: ['plan'],
  summary: 'Apply a plan, unless the intent changed after the plan was made',
  flags: [
    ...CLIENT_FLAGS,
    switchFlag('wait', 'Report each zone when the change is active there'),
    valueFlag('wait-timeout', `Timeout of the wait for all zones, default ${DEFAULT_WAIT_TIMEOUT}`),
  ],
  examples: [
    'intent confirm 3f2a90c41b7d5e68 --endpoint 127.0.0.1:7400',
    'intent confirm 3f2a90c41b7d5e68 --wait --wait-timeout 1m --endpoint 127.0.0.1:7400',
  ],
  async run(input) {
    const waitTimeoutText = flagText(input.flags, 'wait-timeout') ?? DEFAULT_WAIT_TIMEOUT;
    const timeout = parseDuration(waitTimeoutText);
    if (timeout.isNothing) {
      const reason = `"${waitTimeoutText}" is not a duration`;
      const problem = { key: '--wait-timeout', reason, accepted: ACCEPTED_DURATIONS };
      return reportProblems(input.terminal, [problem]);
    }
    const client = clientOf(input);
    if (client.isErr) return reportProblems(input.terminal, client.error);
    return confirm(input, client.value, timeout.value);
  },
};

async function confirm(
  input: CommandInput,
  client: OperatorClient,
  waitTimeout: number,
): Promise<ExitCode> {
  const body = { plan_id: input.parameters[0] };
  const answer = await client.send({ method: 'POST', path: '/v1/intents/confirm', body });
  if (answer.isErr) return reportFailure(input, answer.error, true);
  printDocument(input, answer.value);
  if (input.flags.wait !== true) return EXIT_CODES.ok;
  return waitUntilActive(input, client, Number(answer.value.revision), waitTimeout);
}
