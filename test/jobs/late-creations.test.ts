/** Guards against accepted jobs that no node runs, since the store created them without an answer. */
import t from 'tap';
import { AnswerRecord } from './answer-record.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

t.test('a creation that the store applies late is run by its node', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const node = zones.start('zone-1');
  await acceptStep(zones, node, 0);
  zones.setStore('late-and-unanswered', node);
  const asked = zones.clock.now();
  const first = node.service.submit(step(JOB, 0), () => zones.clock.now() < asked + 500);
  await zones.answerOf(first, 10_000);
  await node.port.applyLateCommits();
  zones.setStore('up', node);
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 0))), 'accepted');
  await zones.run(30_000);
  const texts = await zones.read(node, JOB);
  t.equal('failure' in texts ? texts.failure : texts.length, 2, 'its node runs it');
});

t.test('a job accepted by the journal after an unanswered creation is run on', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const record = new AnswerRecord(zones);
  const node = zones.start('zone-1');
  await acceptStep(zones, node, 0);
  zones.setStore('late-and-unanswered', node);
  const asked = zones.clock.now();
  const first = node.service.submit(step(JOB, 1), () => zones.clock.now() < asked + 50);
  await zones.answerOf(first, 10_000);
  zones.setStore('refusing', node);
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1))), 'accepted');
  await zones.run(LISTING_TIME);
  await record.read(node, JOB);
  await node.port.applyLateCommits();
  zones.setStore('up', node);
  await zones.run(30_000);
  const texts = await record.read(node, JOB);
  t.equal('failure' in texts ? texts.failure : texts.length, 2, 'its node still reads it');
  t.same(record.differences(), []);
});

t.test(
  'a job accepted by the journal runs on after its earlier creation was applied',
  async (t) => {
    const zones = await ZonesWithStore.open(t, 1);
    const node = zones.start('zone-1');
    await acceptStep(zones, node, 0);
    zones.setStore('late-and-unanswered', node);
    const asked = zones.clock.now();
    const first = node.service.submit(step(JOB, 1), () => zones.clock.now() < asked + 50);
    t.equal((await zones.answerOf(first, 10_000))?.kind, 'outcome_unknown');
    zones.setStore('refusing', node);
    t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1))), 'accepted', 'by the journal');
    await node.port.applyLateCommits();
    zones.setStore('up', node);
    await zones.run(30_000);
    const texts = await zones.read(node, JOB);
    t.equal('failure' in texts ? texts.failure : texts.length, 2, 'the accepted job is run');
  },
);
