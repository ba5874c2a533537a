import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { UsageCounts, type WindowCounts } from '../../src/singleton-tasks/usage-counts.js';
import { UsageMeter } from '../../src/singleton-tasks/usage-meter.js';
import { UsageRecords } from '../../src/singleton-tasks/usage-records.js';
import { type SingletonTaskHolder, UsageSender } from '../../src/singleton-tasks/usage-sender.js';
import { UsageWindows } from '../../src/singleton-tasks/usage-windows.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';

interface Fixture {
  readonly sender: UsageSender;
  readonly meter: UsageMeter;
  readonly gathered: UsageCounts;
  readonly records: UsageRecords;
  readonly sent: { readonly holder: string; readonly counts: WindowCounts }[];
  readonly clock: ManualClock;
  taskHolder: SingletonTaskHolder;
  answers: boolean;
}

function fixture(): Fixture {
  const clock = new ManualClock();
  const meter = new UsageMeter(new UsageWindows(clock, 5_000), 5);
  const gathered = new UsageCounts();
  const records = new UsageRecords(new SharedStoreEmulator(), () => {});
  const sent: Fixture['sent'] = [];
  const state = { taskHolder: { holder: 'holder', term: 1 } as SingletonTaskHolder, answers: true };
  const sender = new UsageSender({
    ...{ meter, gathered, records, clock },
    source: 'own-life',
    node: 'own',
    taskHolder: () => state.taskHolder,
    liveNodes: () => 10,
    sendCounts: async (holder, _, counts) => {
      sent.push({ holder, counts });
      return state.answers;
    },
    log: recordingLog().log,
  });
  return Object.assign(state, { sender, meter, gathered, records, sent, clock });
}

/** Polls twice, with the minimum send interval between the polls. */
async function pollTwice({ sender, clock }: Fixture): Promise<void> {
  await sender.poll();
  clock.time += 1_100;
  await sender.poll();
}

t.test('the holder receives totals once per change', async (t) => {
  const run = fixture();
  await pollTwice(run);
  run.meter.noteBegun('north', 1_000);
  await pollTwice(run);
  run.meter.noteBegun('north', 1_000);
  await pollTwice(run);
  t.same(
    run.sent.map(({ counts }) => counts.get(0)?.get('north')),
    [1, 2],
  );
});

t.test('a lost message is sent again, and a new holder receives all counts', async (t) => {
  const run = fixture();
  run.meter.noteBegun('north', 1_000);
  run.answers = false;
  await pollTwice(run);
  t.equal(run.sent.length, 2);
  run.answers = true;
  await pollTwice(run);
  run.taskHolder = { holder: 'next', term: 2 };
  run.clock.time += 1_100;
  await pollTwice(run);
  t.match(run.sent.at(-1), { holder: 'next' });
  t.equal(run.sent.length, 4);
});

t.test('counts that the holder has not received are stored when the node stops', async (t) => {
  const run = fixture();
  run.meter.noteBegun('north', 1_000);
  run.answers = false;
  await run.sender.finish();
  const stored = await run.records.read(0);
  t.equal(stored?.counts[0]?.counts.get(0)?.get('north'), 1);
});

t.test('a holder that stops stores the counts that it received', async (t) => {
  const run = fixture();
  run.taskHolder = { holder: 'own', term: 1 };
  run.gathered.merge('other-life', new Map([[0, new Map([['south', 3]])]]));
  await run.sender.finish();
  const stored = await run.records.read(0);
  t.match(stored?.counts, [{ source: 'other-life' }]);
});

t.test('a node without unsent counts stores nothing when it stops', async (t) => {
  const run = fixture();
  run.meter.noteBegun('north', 1_000);
  await run.sender.poll();
  await run.sender.finish();
  t.equal(run.sent.length, 1);
  t.same((await run.records.read(0))?.counts, []);
});
