import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { EXIT_CODES } from '../../src/cli/exit-codes.js';
import { runProgram } from '../../src/cli/program.js';
import { trainerCommands } from '../../src/cli/trainer-commands.js';
import { LostReplicas } from '../../src/jobs/lost-replicas.js';
import { ManualClock } from '../jobs/job-fixtures.js';

const TRAINER = 'job/trainer/0123';
const REPLICAS = ['disk-1', 'disk-2'].map((node) => ({
  ...{ node, zone: 'zone-1', address: `${node}:1`, disk: `id-${node}` },
}));
const RECORD = {
  ...{ zone: 'zone-1', term: 4, replicas: REPLICAS, lastStep: 7, heldJobs: [], changedAt: 0 },
};

async function run(...words: string[]) {
  const store = new SharedStoreEmulator();
  store.write(TRAINER, JSON.stringify(RECORD));
  const lines: string[] = [];
  const errors: string[] = [];
  const terminal = {
    writeLine: (text: string) => void lines.push(text),
    writeError: (text: string) => void errors.push(text),
    environment: {},
    pause: async () => {},
  };
  const commands = trainerCommands(() => new LostReplicas(store, new ManualClock()));
  return { code: await runProgram(words, terminal, commands), lines, errors };
}

t.test('trainers are listed with the replicas that are not registered', async (t) => {
  const { code, lines } = await run('trainers');
  t.equal(code, EXIT_CODES.ok);
  t.same(lines, [
    `${TRAINER}: zone zone-1, term 4, last step 7, replicas disk-1 disk-2, not registered disk-1 disk-2`,
  ]);
});

t.test('replicas are given up only with the confirmation', async (t) => {
  const refused = await run('abandon-replicas', TRAINER);
  t.equal(refused.code, EXIT_CODES.badUsage);
  t.match(refused.errors, [/--disks-will-not-return/]);
  const abandoned = await run('abandon-replicas', TRAINER, '--disks-will-not-return');
  t.equal(abandoned.code, EXIT_CODES.ok);
  t.same(abandoned.lines, [`${TRAINER}: gave up disk-1 disk-2; its next job gets new replicas.`]);
  const unknown = await run('abandon-replicas', 'job/trainer/none', '--disks-will-not-return');
  t.equal(unknown.code, EXIT_CODES.failed);
  t.match(unknown.errors, [/no trainer has this key/]);
});
