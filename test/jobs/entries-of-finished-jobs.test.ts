/** Guards against readers that wait for ever for entries which a finished job left in a journal. */
import t from 'tap';
import { JobStore } from '../../src/jobs/job-store.js';
import type { PeerOutcome, PeerRequest } from '../../src/peers/peer-messages.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import type { JournalZone } from '../journal/journal-fixtures.js';
import { AnswerRecord } from './answer-record.js';
import { always } from './job-fixtures.js';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
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

/** Loses the requests of one kind that reach a zone. */
function loseRequests(zone: JournalZone, isLost: (request: PeerRequest) => boolean): () => void {
  const { request } = zone;
  zone.request = async <Kind extends PeerRequest['kind']>(
    address: string,
    message: PeerRequest,
  ): Promise<PeerOutcome<Kind>> =>
    isLost(message)
      ? { kind: 'silent' }
      : ((await request.call(zone, address, message)) as PeerOutcome<Kind>);
  return () => {
    zone.request = request;
  };
}

for (const areReleasesLost of [false, true]) {
  const losses = areReleasesLost ? ', and whose releases are lost' : '';
  t.test(`a takeover that finds an end at one replica of three${losses}`, async (t) => {
    const { zones, owner } = await acceptedByJournal(t);
    t.equal(await zones.answerOf(cancel(owner)), undefined);
    zones.end(owner);
    const zone = zones.zone('zone-1');
    for (const address of zone.addresses.slice(1)) zone.unreachable.add(address);
    const restore = loseRequests(zone, ({ kind }) => areReleasesLost && kind === 'journal-release');
    const taker = await takeOver(t, zones);
    zone.unreachable.clear();
    restore();
    await checkReaders(t, zones, taker);
  });
}

t.test('a takeover of a job that is cancelled later', async (t) => {
  const { zones, owner } = await acceptedByJournal(t);
  zones.end(owner);
  const taker = await takeOver(t, zones);
  t.equal(await zones.answerOf(cancel(taker)), undefined);
  await checkReaders(t, zones, taker);
});

t.test('an owner whose release of the created job is lost', async (t) => {
  const { zones, owner } = await acceptedByJournal(t);
  const restore = loseRequests(zones.zone('zone-1'), ({ kind }) => kind === 'journal-release');
  zones.setStore('up', owner);
  await zones.run(LISTING_TIME);
  restore();
  t.equal(await zones.answerOf(cancel(owner)), undefined);
  await checkReaders(t, zones, owner);
});

t.test('the only node of a zone removes what its own cancelled job left', async (t) => {
  const { zones, owner } = await acceptedByJournal(t);
  const restore = loseRequests(zones.zone('zone-1'), ({ kind }) => kind === 'journal-release');
  zones.setStore('up', owner);
  await zones.run(LISTING_TIME);
  restore();
  t.equal(await zones.answerOf(cancel(owner)), undefined);
  await zones.run(RECOVERY_TIME);
  t.same(await owner.journals.unsyncedHolders(), []);
  await zones.close();
});

t.test('a live owner whose results only the journal has when its job is cancelled', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const record = new AnswerRecord(zones);
  const engine = new SendRecorder(zones.clock);
  const owner = zones.start('zone-1', undefined, engine);
  await acceptStep(zones, owner, 0);
  t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
  zones.setStore('refusing', owner);
  engine.completing.add('item-0');
  await zones.run(LISTING_TIME);
  await record.read(owner, JOB);
  t.equal(record.told.length, 1, 'the owner told a result');
  const store = new JobStore(zones.store, zones.clock);
  const found = await store.head(JOB);
  if (found.kind !== 'found') throw new Error(found.kind);
  const change = await store.replace(JOB, found.value, { ended: true }, always);
  t.equal(change.kind, 'changed');
  const other = zones.start('zone-1');
  await zones.run(RECOVERY_TIME);
  const texts = await record.read(other, JOB);
  t.equal('failure' in texts ? texts.failure : texts.length, 1, 'another node reads it');
  engine.completing.add('item-1');
  await zones.run(LISTING_TIME);
  await record.read(owner, JOB);
  t.equal(record.told.length, 3, 'the owner tells the same result as before');
  zones.setStore('up', owner);
  await zones.run(LISTING_TIME);
  t.same(await record.contradictionsAt([owner, other, zones.start('zone-1')]), []);
  await zones.close();
});
