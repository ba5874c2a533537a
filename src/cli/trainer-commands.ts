/** Commands on the trainers' records in the shared store; they need no node. */
import type { AbandonOutcome, LostReplicas, TrainerReplicas } from '../jobs/lost-replicas.js';
import type { ReplicaLocation } from '../journal/replica-location.js';
import { type Command, reportProblems, switchFlag } from './command.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** No node can tell whether a lost disk will return, so the operator has to confirm it. */
const CONFIRMATION_FLAG = 'disks-will-not-return';

/** Commands on the trainers of one store, which is opened when a command runs. */
export function trainerCommands(openTrainers: () => LostReplicas): readonly Command[] {
  return [listCommand(openTrainers), abandonCommand(openTrainers)];
}

function listCommand(openTrainers: () => LostReplicas): Command {
  return {
    words: 'trainers',
    parameters: [],
    summary: 'List the trainers with their zone and the state of their journal replicas',
    flags: [],
    examples: ['trainers'],
    async run({ terminal }) {
      const trainers = await openTrainers().trainers();
      if (trainers === undefined) {
        terminal.writeError('The store did not answer; nothing was read.');
        return EXIT_CODES.unreachable;
      }
      for (const trainer of trainers) terminal.writeLine(textOf(trainer));
      return EXIT_CODES.ok;
    },
  };
}

function abandonCommand(openTrainers: () => LostReplicas): Command {
  return {
    words: 'abandon-replicas',
    parameters: ['trainer'],
    summary:
      'Give up the lost journal replicas of a trainer, and the accepted jobs that only they hold',
    flags: [
      switchFlag(CONFIRMATION_FLAG, 'Confirms that none of the disks will come back (required)'),
    ],
    examples: [`abandon-replicas job/trainer/0123456789abcdef --${CONFIRMATION_FLAG}`],
    async run({ parameters, flags, terminal }) {
      const [trainer = ''] = parameters;
      if (flags[CONFIRMATION_FLAG] !== true) {
        const reason = 'a disk that came back could accept jobs a second time';
        const accepted = 'the flag, once none of the disks can come back';
        return reportProblems(terminal, [{ key: `--${CONFIRMATION_FLAG}`, reason, accepted }]);
      }
      const outcome = await openTrainers().abandon(trainer);
      const report = reportOf(trainer, outcome);
      if (report.code === EXIT_CODES.ok) terminal.writeLine(report.text);
      else terminal.writeError(report.text);
      return report.code;
    },
  };
}

function reportOf(
  trainer: string,
  outcome: AbandonOutcome,
): { readonly code: ExitCode; readonly text: string } {
  const failed = (text: string, code: ExitCode = EXIT_CODES.failed) => ({ code, text });
  switch (outcome.kind) {
    case 'abandoned':
      return {
        code: EXIT_CODES.ok,
        text: `${trainer}: gave up ${namesOf(outcome.replicas)}; its next job gets new replicas.`,
      };
    case 'in-use':
      return failed(`${trainer}: ${namesOf(outcome.replicas)} is registered; nothing was changed.`);
    case 'unknown-trainer':
      return failed(`${trainer}: no trainer has this key; "trainers" lists them.`);
    case 'conflict':
      return failed(`${trainer}: a node changed the record meanwhile; look at it again.`);
    case 'unavailable':
      return outcome.mayBeDone
        ? failed(
            `${trainer}: the store did not answer; the change may have taken effect.`,
            EXIT_CODES.outcomeUnknown,
          )
        : failed('The store did not answer; nothing was changed.', EXIT_CODES.unreachable);
  }
}

function textOf({ trainer, record, registered }: TrainerReplicas): string {
  const { zone, term, lastStep, replicas } = record;
  const lost = replicas.filter((replica) => !registered.includes(replica));
  const state = `replicas ${namesOf(replicas)}, not registered ${namesOf(lost)}`;
  return `${trainer}: zone ${zone}, term ${term}, last step ${lastStep}, ${state}`;
}

function namesOf(replicas: readonly ReplicaLocation[]): string {
  return replicas.length === 0 ? 'none' : replicas.map(({ node }) => node).join(' ');
}
