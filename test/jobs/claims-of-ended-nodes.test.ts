/** Guards against jobs that get two listings, or none, after a node left a claim or a commit behind. */
import t from 'tap';
import { JobStore } from '../../src/jobs/job-store.js';
import { AnswerRecord } from './answer-record.js';
import { acceptStep, checkAfterHealing, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

t.test(
  'a job that a dead node of the zone had stored is not accepted by the journal',
  async (t) => {
    const zones = await ZonesWithStore.open(t, 1);
    const record = new AnswerRecord(zones);
    const [first, second] = [zones.start('zone-1'), zones.start('zone-1')];
    await acceptStep(zones, first, 0);
    t.equal(await zones.answerOf(zones.submit(second, step(JOB, 1))), 'accepted');
    await zones.run(LISTING_TIME);
    await record.read(second, JOB);
    t.equal(record.told.length, 2, 'the results were told');
    zones.end(second);
    zones.setStore('refusing', first);
    await zones.answerOf(zones.submit(first, step(JOB, 1)), 10_000);
    await zones.run(LISTING_TIME);
    await record.read(first, JOB);
    t.same(record.differences(), [], 'one listing');
    await checkAfterHealing(t, zones, record, 1);
  },
);

t.test('a creation that is applied after its node ended does not block the job', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const record = new AnswerRecord(zones);
  const [first, second] = [zones.start('zone-1'), zones.start('zone-1')];
  await acceptStep(zones, first, 0);
  zones.setStore('late-and-unanswered', second);
  void zones.submit(second, step(JOB, 1));
  await zones.run(50);
  zones.end(second);
  zones.setStore('refusing', first);
  const answer = await zones.answerOf(zones.submit(first, step(JOB, 1)), 10_000);
  t.equal(answer, 'outcome_unknown');
  await zones.run(LISTING_TIME);
  await record.read(first, JOB);
  await second.port.applyLateCommits();
  zones.setStore('up', first);
  await zones.run(LISTING_TIME);
  zones.end(first);
  await checkAfterHealing(t, zones, record, 1);
});

t.test('a job whose taker ended between claim and commit is taken over', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const record = new AnswerRecord(zones);
  const [owner, taker] = [zones.start('zone-1'), zones.start('zone-1')];
  t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
  const read = await new JobStore(zones.store, zones.clock).head(JOB);
  if (read.kind !== 'found') throw new Error(read.kind);
  zones.end(owner);
  zones.setStore('refusing', taker);
  t.equal(await zones.answerOf(taker.service.takeOver(JOB, read.value, false)), false);
  zones.end(taker);
  await checkAfterHealing(t, zones, record, 1);
});

t.test('a job whose taker could not commit is taken over by another node', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const [owner, taker, other] = [0, 1, 2].map(() => zones.start('zone-1'));
  if (owner === undefined || taker === undefined || other === undefined) throw new Error('nodes');
  t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
  const read = await new JobStore(zones.store, zones.clock).head(JOB);
  if (read.kind !== 'found') throw new Error(read.kind);
  zones.end(owner);
  zones.setStore('refusing', taker);
  t.equal(await zones.answerOf(taker.service.takeOver(JOB, read.value, false)), false);
  await zones.run(30_000);
  t.equal(await zones.answerOf(other.service.takeOver(JOB, read.value, false)), true);
});

t.test(
  'an accepted job is recovered although a returning disk holds an earlier attempt',
  async (t) => {
    const zones = await ZonesWithStore.open(t, 1, 4);
    const record = new AnswerRecord(zones);
    const [d0 = '', d1 = '', d2 = '', d3 = ''] = zones.zone('zone-1').addresses;
    const { unreachable } = zones.zone('zone-1');
    const first = zones.start('zone-1', ({ address }) => address !== d0);
    await acceptStep(zones, first, 0);
    zones.setStore('refusing', first);
    for (const address of [d1, d2]) unreachable.add(address);
    t.equal(await zones.answerOf(zones.submit(first, step(JOB, 1)), 10_000), 'outcome_unknown');
    zones.end(first);
    for (const address of [d1, d2]) unreachable.delete(address);
    unreachable.add(d3);
    const second = zones.start('zone-1');
    await zones.expireRecord(d3, second);
    await acceptStep(zones, second, 0.5);
    zones.setStore('refusing', second);
    t.equal(await zones.answerOf(zones.submit(second, step(JOB, 1)), 10_000), 'accepted');
    await zones.run(LISTING_TIME);
    await record.read(second, JOB);
    t.equal(record.told.length, 2, 'results were told');
    zones.end(second);
    unreachable.delete(d3);
    zones.start('zone-1');
    await zones.run(10_000);
    await checkAfterHealing(t, zones, record, 1);
  },
);

t.test('a node accepts a job after its first attempt with a claim taken over failed', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const [first, second] = [zones.start('zone-1'), zones.start('zone-1')];
  await acceptStep(zones, first, 0);
  zones.setStore('late-and-unanswered', first, second);
  void zones.submit(second, step(JOB, 0));
  await zones.run(50);
  zones.end(second);
  const asked = zones.clock.now();
  const failed = first.service.submit(step(JOB, 0), () => zones.clock.now() < asked + 2_000);
  t.equal((await zones.answerOf(failed, 10_000))?.kind, 'outcome_unknown');
  zones.setStore('up', first);
  await zones.run(10_000);
  t.equal(await zones.answerOf(zones.submit(first, step(JOB, 0)), 10_000), 'accepted');
});
