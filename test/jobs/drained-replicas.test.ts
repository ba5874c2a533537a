/**
 * Guards against trainers whose jobs are refused, and unknown jobs that are not reported as such,
 * after the machines of a group of journal replicas were drained and removed.
 */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { JobStore } from '../../src/jobs/job-store.js';
import type { TrainerRecord } from '../../src/jobs/trainer-record.js';
import { ReplicaDirectory } from '../../src/journal/replica-directory.js';
import { ZoneJournals } from '../../src/journal/zone-journals.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { AnswerRecord } from './answer-record.js';
import { isEmpty, noteDraining } from './replica-drains.js';
import { acceptStep, checkAfterHealing, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

/** Longer than replicas with expired records are asked for entries. */
const FORGOTTEN_AFTER: Milliseconds = 700_000;

/** Removes a machine once it is empty. */
async function drainAndRemove(
  zones: ZonesWithStore,
  coordinator: ZoneNode,
  address: string,
): Promise<boolean> {
  noteDraining(address, zones.live());
  if (!(await isEmpty(zones, coordinator, address))) return false;
  zones.zone('zone-1').unreachable.add(address);
  await zones.expireRecord(address, ...zones.live());
  return true;
}

async function onlyRecord({ store, clock }: ZonesWithStore): Promise<TrainerRecord> {
  const records = await new JobStore(store, clock).trainerRecords();
  const record = records.kind === 'found' ? records.value[0] : undefined;
  if (record === undefined) throw new Error('no record');
  return record;
}

async function groupOf(zones: ZonesWithStore): Promise<string[]> {
  return (await onlyRecord(zones)).replicas.map(({ address }) => address);
}

t.test('an idle trainer whose machines are drained one by one stays usable', async (t) => {
  const zones = await ZonesWithStore.open(t, 2, 6);
  const [node, other] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  for (const address of await groupOf(zones)) {
    t.ok(await drainAndRemove(zones, other, address), `${address} is empty`);
    const group = await groupOf(zones);
    t.equal(group.length, 3);
    t.notOk(group.includes(address), `no record names ${address}`);
  }
  await zones.run(FORGOTTEN_AFTER);
  t.strictSame(await zones.read(other, 'unknown'), { failure: 'not_found' });
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1)), 10_000), 'accepted');
  await zones.run(LISTING_TIME);
  zones.setStore('refusing', node);
  t.equal(await zones.answerOf(zones.submit(node, step('next', 2))), 'accepted', 'by the journal');
});

t.test('a trainer of a zone whose replicas are all drained stays usable', async (t) => {
  const zones = await ZonesWithStore.open(t, 2);
  const [node, other] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  for (const address of zones.zone('zone-1').addresses) {
    t.ok(await drainAndRemove(zones, other, address), `${address} is empty`);
  }
  t.strictSame(await groupOf(zones), []);
  await zones.run(FORGOTTEN_AFTER);
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1)), 10_000), 'accepted');
});

t.test('a machine is not empty before its record is moved', async (t) => {
  const zones = await ZonesWithStore.open(t, 2, 6);
  const [node, other] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  const before = await onlyRecord(zones);
  const [drained = ''] = await groupOf(zones);
  noteDraining(drained, zones.live());
  zones.partitioned.add('zone-1');
  t.notOk(await isEmpty(zones, other, drained), 'no replica is fenced');
  zones.partitioned.clear();
  zones.setStore('refusing', other);
  t.notOk(await isEmpty(zones, other, drained), 'the store does not answer');
  zones.setStore('late-and-unanswered', other);
  t.notOk(await isEmpty(zones, other, drained), 'the store may not have the change');
  t.strictSame(await onlyRecord(zones), before);
  zones.setStore('up', other);
  t.ok(await isEmpty(zones, other, drained));
  const moved = await onlyRecord(zones);
  await other.port.applyLateCommits();
  t.strictSame(await onlyRecord(zones), moved, 'a late change has no effect');
});

t.test('a coordinator that does not know the replicas yet moves no record', async (t) => {
  const zones = await ZonesWithStore.open(t, 1, 6);
  const node = zones.start('zone-1');
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  const before = await onlyRecord(zones);
  const [drained = ''] = await groupOf(zones);
  const { clock } = zones;
  const directory = new ReplicaDirectory({ clock, groupSize: 3 });
  const journals = new ZoneJournals({
    ...{ port: zones.zone('zone-1'), metrics: new FleetMetrics(), directory },
    ...{ zone: 'zone-1', writer: 'node-9/life-9' },
  });
  t.notOk(await isEmpty(zones, { ...node, directory, journals }, drained));
  t.strictSame(await onlyRecord(zones), before);
});

t.test('a gateway with a copy of a moved record finds out by its next commit', async (t) => {
  const zones = await ZonesWithStore.open(t, 2, 6);
  const [node, other] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  const [drained = ''] = await groupOf(zones);
  noteDraining(drained, [other]);
  t.ok(await isEmpty(zones, other, drained));
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1))), 'accepted');
  t.match(await onlyRecord(zones), { zone: 'zone-1', lastStep: 1 });
  t.notOk((await groupOf(zones)).includes(drained));
});

t.test('a gateway with a copy of a moved record accepts nothing by its journal', async (t) => {
  const zones = await ZonesWithStore.open(t, 2, 6);
  const record = new AnswerRecord(zones);
  const [node, other] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  const [drained = ''] = await groupOf(zones);
  noteDraining(drained, [other]);
  t.ok(await isEmpty(zones, other, drained));
  zones.setStore('refusing', node);
  const answer = await zones.answerOf(zones.submit(node, step(JOB, 1)), 10_000);
  t.not(answer, 'accepted', 'the replicas refuse its confirmation');
  zones.setStore('up', node);
  await zones.run(LISTING_TIME);
  await checkAfterHealing(t, zones, record, 1);
});

t.test('a job that only a drained group holds is stored after the move', async (t) => {
  const zones = await ZonesWithStore.open(t, 2, 6);
  const record = new AnswerRecord(zones);
  const [node, other] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  const [drained = ''] = await groupOf(zones);
  zones.setStore('refusing', node);
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1))), 'accepted');
  await zones.run(LISTING_TIME);
  await record.read(node, JOB);
  noteDraining(drained, zones.live());
  t.notOk(await isEmpty(zones, other, drained), 'it holds entries');
  t.match(await onlyRecord(zones), { heldJobs: [{ job: JOB, zone: 'zone-1' }] });
  t.strictSame(await zones.read(other, 'unknown'), { failure: 'not_found' });
  zones.setStore('up', node);
  await zones.run(LISTING_TIME);
  t.ok(await isEmpty(zones, other, drained));
  await checkAfterHealing(t, zones, record, 1);
});

t.test('results wait for the store while a replica of their job is drained', async (t) => {
  const zones = await ZonesWithStore.open(t, 2, 6);
  const record = new AnswerRecord(zones);
  const [node, other] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  const [drained = ''] = await groupOf(zones);
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1))), 'accepted');
  zones.setStore('refusing', node);
  noteDraining(drained, [other]);
  t.ok(await isEmpty(zones, other, drained));
  await zones.run(LISTING_TIME);
  const stored = await new JobStore(zones.store, zones.clock).head(JOB);
  const listed = stored.kind === 'found' ? stored.value.head.listed : undefined;
  t.equal(listed, 1);
  t.match(await record.read(node, JOB), { length: listed }, 'no result on two disks is told');
  t.ok(await isEmpty(zones, other, drained));
  zones.setStore('up', node);
  await zones.run(LISTING_TIME);
  t.match(await record.read(node, JOB), { length: 2 });
  await checkAfterHealing(t, zones, record, 1);
});
