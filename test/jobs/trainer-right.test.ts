/** Guards against a zone that loses its right to accept a trainer's jobs although nobody else has it. */
import t from 'tap';
import { JobStore } from '../../src/jobs/job-store.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

t.test('a zone goes on by its journal after a repeated submission in another zone', async (t) => {
  const zones = await ZonesWithStore.open(t, 2);
  const [first, second] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, first, 0);
  // Both are asked while the creation of the first is under way.
  zones.setStore('late-and-unanswered', second);
  const asked = zones.clock.now();
  const repeated = second.service.submit(step('other', 1), () => zones.clock.now() < asked + 300);
  await zones.run(200);
  t.equal(await zones.answerOf(zones.submit(first, step('other', 1))), 'accepted');
  await zones.answerOf(repeated, 10_000);
  await second.port.applyLateCommits();
  zones.setStore('up', second);
  await zones.run(LISTING_TIME);
  t.equal(await zones.answerOf(zones.submit(first, step('next', 2))), 'accepted');
  await zones.run(LISTING_TIME);
  zones.setStore('refusing', first, second);
  t.equal(
    await zones.answerOf(zones.submit(first, step(JOB, 3)), 10_000),
    'accepted',
    'a partitioned home',
  );
});

t.test(
  'a zone goes on by its journal though the record of a replica that answers has expired',
  async (t) => {
    const zones = await ZonesWithStore.open(t, 1, 4);
    const node = zones.start('zone-1');
    await acceptStep(zones, node, 0);
    await zones.run(LISTING_TIME);
    const records = await new JobStore(zones.store, zones.clock).trainerRecords();
    if (records.kind !== 'found') throw new Error(records.kind);
    await zones.expireRecord(records.value[0]?.replicas[0]?.address ?? '', node);
    zones.setStore('refusing', node);
    t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1)), 10_000), 'accepted');
  },
);
