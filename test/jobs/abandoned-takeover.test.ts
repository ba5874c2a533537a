/** Guards against journaled results that stay unreadable behind the claim of a failed takeover. */
import t from 'tap';
import { JobStore } from '../../src/jobs/job-store.js';
import type { PeerOutcome, PeerRequest } from '../../src/peers/peer-messages.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import type { JournalZone } from '../journal/journal-fixtures.js';
import { AnswerRecord } from './answer-record.js';
import { always } from './job-fixtures.js';
import { acceptStep, checkAfterHealing, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

type Test = Pick<typeof t, 'teardown' | 'equal' | 'same'>;

/** Time for two scans of the journals, and a claim that is passed over in between. */
const RECOVERY_TIME = 10_000;

/** A job in the store whose results only the journal has, and whose owner has ended. */
async function withJournaledResults(test: Test) {
  const zones = await ZonesWithStore.open(test, 1);
  const record = new AnswerRecord(zones);
  const owner = zones.start('zone-1');
  await acceptStep(zones, owner, 0);
  test.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
  zones.setStore('refusing', owner);
  await zones.run(LISTING_TIME);
  await record.read(owner, JOB);
  test.equal(record.told.length, 2, 'the owner told both results');
  zones.end(owner);
  const taker = zones.start('zone-1');
  const found = await new JobStore(zones.store, zones.clock).head(JOB);
  if (found.kind !== 'found') throw new Error(found.kind);
  const takeOver = () => zones.answerOf(taker.service.takeOver(JOB, found.value, false), 10_000);
  const cancel = (node: ZoneNode) => node.service.cancel(JOB, UNRESTRICTED, always);
  return { zones, record, taker, takeOver, cancel };
}

type Situation = Awaited<ReturnType<typeof withJournaledResults>>;

/** The node of the takeover loses the store; another node must read all results. */
async function checkRecovery(test: Test, { zones, record, taker }: Situation): Promise<void> {
  zones.setStore('refusing', taker);
  const other = zones.start('zone-1');
  await zones.run(RECOVERY_TIME);
  const texts = await zones.read(other, JOB);
  test.equal('failure' in texts ? texts.failure : texts.length, 2, 'another node recovered them');
  test.same(record.differences(), []);
  await checkAfterHealing(test, zones, record, 1);
}

t.test('a takeover that fails because the job is cancelled', async (t) => {
  const situation = await withJournaledResults(t);
  const { zones, taker, takeOver, cancel } = situation;
  const canceller = zones.start('zone-1');
  const { commit } = taker.port;
  taker.port.commit = async (change) => {
    taker.port.commit = commit;
    await cancel(canceller);
    return commit.call(taker.port, change);
  };
  t.equal(await takeOver(), false);
  await checkRecovery(t, situation);
});

/** What becomes of a request to a replica. */
type Loss = 'none' | 'of-answer' | 'of-request';

/** Loses requests to the replicas of a zone, or their answers; returns what restores the zone. */
function loseRequests(zone: JournalZone, lossOf: (request: PeerRequest) => Loss): () => void {
  const { request } = zone;
  zone.request = async <Kind extends PeerRequest['kind']>(
    address: string,
    message: PeerRequest,
  ): Promise<PeerOutcome<Kind>> => {
    const loss = lossOf(message);
    if (loss === 'of-request') return { kind: 'silent' };
    const outcome = await request.call(zone, address, message);
    return loss === 'of-answer' ? { kind: 'silent' } : (outcome as PeerOutcome<Kind>);
  };
  return () => {
    zone.request = request;
  };
}

t.test('a takeover whose claim was granted without an answer', async (t) => {
  const situation = await withJournaledResults(t);
  const { zones, takeOver, cancel } = situation;
  const restore = loseRequests(zones.zone('zone-1'), ({ kind }) =>
    kind === 'journal-claim' ? 'of-answer' : 'none',
  );
  t.equal(await takeOver(), false);
  restore();
  t.equal(await zones.answerOf(cancel(zones.start('zone-1'))), undefined);
  await checkRecovery(t, situation);
});

t.test('a takeover whose node reaches no replica after its claim', async (t) => {
  const situation = await withJournaledResults(t);
  const { zones, taker, takeOver, cancel } = situation;
  loseRequests(zones.zone('zone-1'), (request) => {
    const isOwn = 'holder' in request && request.holder.writer === taker.journals.writer;
    if (!isOwn) return 'none';
    return request.kind === 'journal-claim' ? 'of-answer' : 'of-request';
  });
  t.equal(await takeOver(), false);
  t.equal(await zones.answerOf(cancel(zones.start('zone-1'))), undefined);
  await checkRecovery(t, situation);
});
