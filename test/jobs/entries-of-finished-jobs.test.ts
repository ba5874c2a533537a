/** Guards against readers that wait for ever for entries which a finished job left in a journal. */
import t from 'tap';
import { JobStore } from '../../src/jobs/job-store.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { always } from './job-fixtures.js';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

type Test = Pick<typeof t, 'teardown' | 'equal' | 'same'>;

/** Time for two scans of the journals, and a claim that is passed over in between. */
const RECOVERY_TIME = 10_000;

const cancel = (node: ZoneNode) => node.service.cancel(JOB, UNRESTRICTED, always);

/** A zone whose first node has accepted a job by the journal, and the store as well. */
async function acceptedByJournal(test: Test) {
  const zones = await ZonesWithStore.open(test, 1);
  const owner = zones.start('zone-1', undefined, new SendRecorder(zones.clock));
  await acceptStep(zones, owner, 0);
  zones.setStore('commits-unanswered', owner);
  test.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
  return { zones, owner };
}

/** Takes a job over whose owner has ended. */
async function takeOver(test: Test, zones: ZonesWithStore): Promise<ZoneNode> {
  const taker = zones.start('zone-1', undefined, new SendRecorder(zones.clock));
  const found = await new JobStore(zones.store, zones.clock).head(JOB);
  if (found.kind !== 'found') throw new Error(found.kind);
  test.equal(found.value.head.ended, false, 'only the journal has the end');
  const takeover = taker.service.takeOver(JOB, found.value, false);
  test.equal(await zones.answerOf(takeover, RECOVERY_TIME), true);
  return taker;
}

/** The node that owned the job last, which is live, recovers nothing; another node must read. */
async function checkReaders(test: Test, zones: ZonesWithStore, owner: ZoneNode): Promise<void> {
  zones.setStore('refusing', owner);
  const other = zones.start('zone-1');
  await zones.run(RECOVERY_TIME);
  test.same(await zones.read(other, JOB), [], 'the job has no results');
  const held = await other.journals.unsyncedHolders();
  test.equal(
    held.some(({ job }) => job === JOB),
    false,
    'no replica holds entries of it',
  );
  await zones.close();
}

t.test('a takeover that finds an end at one replica of three', async (t) => {
  const { zones, owner } = await acceptedByJournal(t);
  t.equal(await zones.answerOf(cancel(owner)), undefined);
  zones.end(owner);
  const zone = zones.zone('zone-1');
  for (const address of zone.addresses.slice(1)) zone.unreachable.add(address);
  const taker = await takeOver(t, zones);
  zone.unreachable.clear();
  await checkReaders(t, zones, taker);
});

t.test('a takeover of a job that is cancelled later', async (t) => {
  const { zones, owner } = await acceptedByJournal(t);
  zones.end(owner);
  const taker = await takeOver(t, zones);
  t.equal(await zones.answerOf(cancel(taker)), undefined);
  await checkReaders(t, zones, taker);
});
