/** Guards against records of trainers that are kept for ever, or removed while they are in use. */
import t from 'tap';
import { DAY, type Milliseconds } from '../../src/core/units.js';
import { JobStore } from '../../src/jobs/job-store.js';
import type { TrainerRecord } from '../../src/jobs/trainer-record.js';
import { TRAINER_RETENTION, TrainerRetention } from '../../src/jobs/trainer-retention.js';
import { TRAINER_KEY_PREFIX } from '../../src/journal/journal-entries.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

type Test = Parameters<typeof ZonesWithStore.open>[0];

async function recordsIn({ store, clock }: ZonesWithStore): Promise<readonly TrainerRecord[]> {
  const records = await new JobStore(store, clock).trainerRecords();
  if (records.kind !== 'found') throw new Error(records.kind);
  return records.value;
}

/** A trainer whose record is as old as given. */
async function trainerOfAge(
  test: Test,
  age: Milliseconds,
): Promise<{ zones: ZonesWithStore; node: ZoneNode }> {
  const zones = await ZonesWithStore.open(test, 1);
  const node = zones.start('zone-1');
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  const outcome = await zones.store.range(TRAINER_KEY_PREFIX);
  const [item] = outcome.kind === 'items' ? outcome.items : [];
  if (item === undefined) throw new Error('no record');
  const changedAt = zones.clock.wallTime() - age;
  const value = JSON.stringify({ ...JSON.parse(item.value), changedAt });
  await zones.store.commit({ expected: [], put: [{ key: item.key, value }] });
  return { zones, node };
}

/** Scans the records once, an hour after the start of the scanning node. */
async function scan(zones: ZonesWithStore, { journals }: ZoneNode): Promise<void> {
  const clock = { now: () => 3_600_000, wallTime: () => zones.clock.wallTime() };
  const { log } = recordingLog();
  const { store } = zones;
  await zones.answerOf(new TrainerRetention({ store, journals, clock, log }).removeExpired());
}

t.test('the record of a trainer that ended is removed', async (t) => {
  const { zones, node } = await trainerOfAge(t, TRAINER_RETENTION + DAY);
  await scan(zones, node);
  t.same(await recordsIn(zones), []);
});

t.test('a gateway that cached a removed record accepts nothing by the journal', async (t) => {
  const { zones, node } = await trainerOfAge(t, TRAINER_RETENTION + DAY);
  await scan(zones, zones.start('zone-1'));
  zones.setStore('refusing', node);
  t.not(await zones.answerOf(zones.submit(node, step(JOB, 1)), 10_000), 'accepted');
  zones.setStore('up', node);
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1)), 10_000), 'accepted');
  await zones.run(LISTING_TIME);
  t.match(await recordsIn(zones), [{ lastStep: 1 }]);
  await acceptStep(zones, node, 2);
  zones.setStore('refusing', node);
  const answer = await zones.answerOf(zones.submit(node, step('next', 3)), 10_000);
  t.equal(answer, 'accepted', 'by the journal again');
});

t.test('a record is kept while its trainer may still need it', async (t) => {
  const recent = await trainerOfAge(t, TRAINER_RETENTION - DAY);
  await scan(recent.zones, recent.node);
  t.equal((await recordsIn(recent.zones)).length, 1, 'a recent one');
  const journaled = await trainerOfAge(t, TRAINER_RETENTION + DAY);
  journaled.zones.setStore('refusing', journaled.node);
  const { zones, node } = journaled;
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1))), 'accepted');
  await scan(zones, node);
  t.equal((await recordsIn(zones)).length, 1, 'a replica holds a job that the store lacks');
  const silent = await trainerOfAge(t, TRAINER_RETENTION + DAY);
  const zone = silent.zones.zone('zone-1');
  for (const address of zone.addresses) zone.unreachable.add(address);
  await scan(silent.zones, silent.node);
  t.equal((await recordsIn(silent.zones)).length, 1, 'no replica can be fenced');
});
