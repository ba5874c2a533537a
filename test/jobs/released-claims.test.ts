/** Guards against claims that block a job after the submission that made them was rejected. */
import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { ScriptedEngine } from '../serving/serving-fixtures.js';
import { AnswerRecord } from './answer-record.js';
import { OWNER, specification } from './job-fixtures.js';
import { jobNode } from './job-node.js';
import { StorePort } from './store-port.js';
import { VirtualClock } from './virtual-clock.js';
import { acceptStep, checkAfterHealing, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

type Test = Parameters<typeof ZonesWithStore.open>[0];

/** Time within which a caller gives up before a node reaches a store that rejects it. */
const SHORT_PATIENCE = 500;

/** Longer than a node waits for a commit that the store may carry out late. */
const LATE_COMMIT_TIME = 35_000;

/** Two nodes of a zone, which have each accepted a step of the trainer. */
async function twoNodes(
  test: Test,
): Promise<{ zones: ZonesWithStore; first: ZoneNode; second: ZoneNode }> {
  const zones = await ZonesWithStore.open(test, 1);
  const [first, second] = [zones.start('zone-1'), zones.start('zone-1')];
  await acceptStep(zones, first, 0);
  await acceptStep(zones, second, 0);
  return { zones, first, second };
}

/** A node reaches the store for reads alone, so that it can't create the repeated step. */
function refuseCommits(zones: ZonesWithStore, node: ZoneNode, through: ZoneNode): void {
  zones.setStore('refusing', node);
  const read = node.port.get;
  node.port.get = (key) => (key.includes('head') ? through.port.get(key) : read(key));
}

/** Submits a repeated step, for which a node may not use the journal; the node rejects it. */
async function rejected(zones: ZonesWithStore, node: ZoneNode): Promise<string | undefined> {
  return zones.answerOf(zones.submit(node, step(JOB, 0), SHORT_PATIENCE), 10_000);
}

const partOfZone = (zones: ZonesWithStore) => zones.zone('zone-1');

t.test('a release that no replica received is retried', async (t) => {
  const { zones, first, second } = await twoNodes(t);
  refuseCommits(zones, second, first);
  const pending = zones.submit(second, step(JOB, 0), SHORT_PATIENCE);
  await zones.run(100);
  for (const address of partOfZone(zones).addresses) partOfZone(zones).unreachable.add(address);
  t.equal(await zones.answerOf(pending, 10_000), 'ledger_unavailable');
  await zones.run(1_000);
  partOfZone(zones).unreachable.clear();
  await zones.run(3_000);
  t.equal(await zones.answerOf(zones.submit(first, step(JOB, 0)), 10_000), 'accepted');
});

t.test('a release that one of three replicas received lets another node accept', async (t) => {
  const { zones, first, second } = await twoNodes(t);
  const record = new AnswerRecord(zones);
  refuseCommits(zones, second, first);
  const pending = zones.submit(second, step(JOB, 0), SHORT_PATIENCE);
  await zones.run(100);
  const [, address2 = '', address3 = ''] = partOfZone(zones).addresses;
  partOfZone(zones).unreachable.add(address2).add(address3);
  t.equal(await zones.answerOf(pending, 10_000), 'ledger_unavailable');
  await zones.run(1_000);
  // The node ends before it retries.
  zones.end(second);
  partOfZone(zones).unreachable.clear();
  t.equal(await zones.answerOf(zones.submit(first, step(JOB, 0)), 10_000), 'accepted');
  await zones.run(LISTING_TIME);
  await record.read(first, JOB);
  await checkAfterHealing(t, zones, record, 0);
});

t.test('a released claim outlasts a restart of the replicas', async (t) => {
  const { zones, first, second } = await twoNodes(t);
  refuseCommits(zones, second, first);
  t.equal(await rejected(zones, second), 'ledger_unavailable');
  for (const address of partOfZone(zones).addresses) await zones.restartReplica(address, 'kept');
  t.equal(await zones.answerOf(zones.submit(first, step(JOB, 0)), 10_000), 'accepted');
});

t.test('a node that follows a rejection and fails as well rejects as not run', async (t) => {
  const { zones, first, second } = await twoNodes(t);
  const reader = zones.start('zone-1');
  refuseCommits(zones, second, reader);
  refuseCommits(zones, first, reader);
  t.equal(await rejected(zones, second), 'ledger_unavailable');
  t.equal(await rejected(zones, first), 'ledger_unavailable');
  t.equal(await rejected(zones, second), 'ledger_unavailable');
  zones.setStore('up', second);
  t.equal(await zones.answerOf(zones.submit(second, step(JOB, 0)), 10_000), 'accepted');
});

t.test('a job whose creation may be late is accepted by another node, and once', async (t) => {
  const { zones, first, second } = await twoNodes(t);
  const record = new AnswerRecord(zones);
  zones.setStore('late-and-unanswered', second);
  t.equal(await rejected(zones, second), 'outcome_unknown');
  t.equal(await zones.answerOf(zones.submit(first, step(JOB, 0)), 10_000), 'accepted');
  await zones.run(LISTING_TIME);
  await record.read(first, JOB);
  t.equal(record.told.length, 2, 'the results were told');
  await second.port.applyLateCommits();
  await checkAfterHealing(t, zones, record, 0);
});

t.test('a creation that comes late after another node claimed the job is run', async (t) => {
  const { zones, first, second } = await twoNodes(t);
  const record = new AnswerRecord(zones);
  zones.setStore('late-and-unanswered', second);
  t.equal(await rejected(zones, second), 'outcome_unknown');
  refuseCommits(zones, first, second);
  t.equal(await rejected(zones, first), 'outcome_unknown', 'the store may have the job');
  await second.port.applyLateCommits();
  zones.setStore('up', first, second);
  await zones.run(5_000);
  t.equal(await zones.answerOf(zones.submit(first, step(JOB, 0)), 10_000), 'accepted');
  await checkAfterHealing(t, zones, record, 0);
});

t.test('a job is not reported as not run while its first creation may be late', async (t) => {
  const { zones, first, second } = await twoNodes(t);
  zones.setStore('late-and-unanswered', second);
  t.equal(await rejected(zones, second), 'outcome_unknown');
  refuseCommits(zones, second, first);
  t.equal(await rejected(zones, second), 'outcome_unknown', 'a repeated submission');
  await second.port.applyLateCommits();
  t.notSame(await zones.read(first, JOB), { failure: 'not_found' }, 'the first one was late');
});

t.test('where zones keep no journals, earlier submissions count as well', async (t) => {
  const clock = new VirtualClock();
  const port = new StorePort(new SharedStoreEmulator(), clock);
  const { service } = jobNode(port, OWNER, new ScriptedEngine(), NO_PEERS, { clock });
  port.mode = 'late-and-unanswered';
  const first = service.submit(specification('job', 1), () => clock.now() < 500);
  for (let turn = 0; turn < 100; turn += 1) {
    await setImmediate();
    clock.advanceTo(clock.now() + 50);
  }
  t.equal((await first)?.kind, 'outcome_unknown');
  port.mode = 'refusing';
  const second = await service.submit(specification('job', 1), () => false);
  t.equal(second?.kind, 'outcome_unknown');
});

t.test(
  'a next step whose replica was away is accepted by the journal once it is back',
  async (t) => {
    const { zones, first, second } = await twoNodes(t);
    const [address = ''] = partOfZone(zones).addresses;
    zones.setStore('refusing', first, second);
    partOfZone(zones).unreachable.add(address);
    const answer = await zones.answerOf(zones.submit(second, step(JOB, 1)), 10_000);
    t.equal(answer, 'outcome_unknown', 'its items have started');
    partOfZone(zones).unreachable.clear();
    await zones.run(2_000);
    t.equal(await zones.answerOf(zones.submit(second, step(JOB, 1)), 10_000), 'accepted');
  },
);

t.test('a next step that the store may create late is free once that is excluded', async (t) => {
  const { zones, first, second } = await twoNodes(t);
  const [address = ''] = partOfZone(zones).addresses;
  zones.setStore('silent', second);
  partOfZone(zones).unreachable.add(address);
  const answer = await zones.answerOf(zones.submit(second, step(JOB, 1)), 10_000);
  t.equal(answer, 'outcome_unknown');
  partOfZone(zones).unreachable.clear();
  zones.setStore('up', second);
  await zones.run(LATE_COMMIT_TIME);
  t.equal(await zones.answerOf(zones.submit(first, step(JOB, 1)), 10_000), 'accepted');
});
