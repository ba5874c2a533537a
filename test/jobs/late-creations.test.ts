/** Guards against accepted jobs that no node runs, since the store created them without an answer. */
import t from 'tap';
import { JobStore } from '../../src/jobs/job-store.js';
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

t.test('a submission does not take its own takeover of the job for its creation', async (t) => {
  const zones = await ZonesWithStore.open(t, 2);
  const record = new AnswerRecord(zones);
  const [owner, taker] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, owner, 0);
  const { port, service } = taker;
  const commit = port.commit.bind(port);
  let takeover: Promise<boolean> | undefined;
  let isAnswerLost = true;
  port.commit = async (change) => {
    if (takeover !== undefined) {
      const outcome = await commit(change);
      if (!isAnswerLost) return outcome;
      isAnswerLost = false;
      return { kind: 'failed', effect: 'unknown' };
    }
    // The owner accepts the job and tells results that only its journal has, then it ends.
    t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
    zones.setStore('refusing', owner);
    await zones.run(LISTING_TIME);
    await record.read(owner, JOB);
    const read = await new JobStore(zones.store, zones.clock).head(JOB);
    if (read.kind !== 'found') throw new Error(read.kind);
    zones.end(owner);
    takeover = service.takeOver(JOB, read.value);
    await zones.answerOf(takeover);
    return commit(change);
  };
  await zones.answerOf(zones.submit(taker, step(JOB, 1)), 30_000);
  t.equal(await takeover, false, 'its commit was carried out without an answer');
  await zones.run(10_000);
  const texts = await record.read(taker, JOB);
  t.equal('failure' in texts ? texts.failure : texts.length, 2, 'the taker reads the job');
  t.same(record.differences(), [], 'the results that were told are kept');
});
