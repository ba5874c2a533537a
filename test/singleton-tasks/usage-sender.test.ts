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
  readonly told: { readonly holder: string; readonly counts: WindowCounts }[];
  readonly clock: ManualClock;
  duties: SingletonTaskHolder;
  answers: boolean;
}

function fixture(): Fixture {
  const clock = new ManualClock();
  const meter = new UsageMeter(new UsageWindows(clock, 5_000), 5);
  const gathered = new UsageCounts();
  const records = new UsageRecords(new SharedStoreEmulator(), () => {});
  const told: Fixture['told'] = [];
  const state = { duties: { holder: 'holder', term: 1 } as SingletonTaskHolder, answers: true };
  const sender = new UsageSender({
    ...{ meter, gathered, records, clock },
    source: 'own-life',
    node: 'own',
    taskHolder: () => state.duties,
    liveNodes: () => 10,
    tell: async (holder, _, counts) => {
      told.push({ holder, counts });
      return state.answers;
    },
    log: recordingLog().log,
  });
  return Object.assign(state, { sender, meter, gathered, records, told, clock });
}

/** Two looks with the least pause between two messages in between. */
async function lookTwice({ sender, clock }: Fixture): Promise<void> {
  await sender.look();
  clock.time += 1_100;
  await sender.look();
}

t.test('the holder is told totals, once for each news', async (t) => {
  const run = fixture();
  await lookTwice(run);
  run.meter.noteBegun('north', 1_000);
  await lookTwice(run);
  run.meter.noteBegun('north', 1_000);
  await lookTwice(run);
  t.same(
    run.told.map(({ counts }) => counts.get(0)?.get('north')),
    [1, 2],
  );
});

t.test('a message that was lost is sent again, and a new holder is told everything', async (t) => {
  const run = fixture();
  run.meter.noteBegun('north', 1_000);
  run.answers = false;
  await lookTwice(run);
  t.equal(run.told.length, 2);
  run.answers = true;
  await lookTwice(run);
  run.duties = { holder: 'next', term: 2 };
  run.clock.time += 1_100;
  await lookTwice(run);
  t.match(run.told.at(-1), { holder: 'next' });
  t.equal(run.told.length, 4);
});

t.test('what the holder was not told when the node ends is left in the store', async (t) => {
  const run = fixture();
  run.meter.noteBegun('north', 1_000);
  run.answers = false;
  await run.sender.finish();
  const kept = await run.records.read(0);
  t.equal(kept?.counts[0]?.counts.get(0)?.get('north'), 1);
});

t.test('a holder that ends leaves what others told it', async (t) => {
  const run = fixture();
  run.duties = { holder: 'own', term: 1 };
  run.gathered.merge('other-life', new Map([[0, new Map([['south', 3]])]]));
  await run.sender.finish();
  const kept = await run.records.read(0);
  t.match(kept?.counts, [{ source: 'other-life' }]);
});

t.test('a node that has told everything leaves nothing', async (t) => {
  const run = fixture();
  run.meter.noteBegun('north', 1_000);
  await run.sender.look();
  await run.sender.finish();
  t.equal(run.told.length, 1);
  t.same((await run.records.read(0))?.counts, []);
});
