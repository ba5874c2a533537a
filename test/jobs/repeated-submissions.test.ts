/** Guards against a job that is lost or listed anew while its submission is repeated elsewhere. */
import t from 'tap';
import { AnswerRecord } from './answer-record.js';
import { checkAfterHealing, JOB, journaledOnly, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

t.test('a job that only the journal holds is recovered and read alike in all zones', async (t) => {
  const { zones, record } = await journaledOnly(t);
  await checkAfterHealing(t, zones, record, 1);
});

t.test('a job on the one disk that answers is not created anew by another zone', async (t) => {
  const { zones, record } = await journaledOnly(t);
  const [lost1 = '', lost2 = ''] = zones.zone('zone-1').addresses;
  const other = zones.start('zone-2');
  await zones.restartReplica(lost1, 'empty');
  await zones.restartReplica(lost2, 'empty');
  t.strictSame(await record.read(other, JOB), { failure: 'ledger_unavailable' });
  const answer = await zones.answerOf(zones.submit(other, step(JOB, 1)), 10_000);
  t.equal(answer, 'outcome_unknown');
  await checkAfterHealing(t, zones, record, 1);
});

t.test('a job is not created by another zone while its own zone is partitioned', async (t) => {
  const { zones, record } = await journaledOnly(t);
  const other = zones.start('zone-2');
  zones.partitioned.add('zone-1');
  t.strictSame(await record.read(other, JOB), { failure: 'ledger_unavailable' });
  const answer = await zones.answerOf(zones.submit(other, step(JOB, 1)), 10_000);
  t.equal(answer, 'outcome_unknown');
  await checkAfterHealing(t, zones, record, 1);
});

t.test('a late creation and a repeated submission in another zone make one listing', async (t) => {
  const zones = await ZonesWithStore.open(t, 2);
  const record = new AnswerRecord(zones);
  const [first, second] = [zones.start('zone-1'), zones.start('zone-2')];
  zones.setStore('late-and-unanswered', first);
  const delayed = zones.submit(first, step(JOB, 0));
  await zones.run(500);
  t.equal(await zones.answerOf(zones.submit(second, step(JOB, 0))), 'accepted');
  await zones.run(LISTING_TIME);
  await record.read(second, JOB);
  zones.setStore('up', first);
  await first.port.applyLateCommits();
  await zones.answerOf(delayed);
  await record.read(first, JOB);
  t.same(record.differences(), [], 'the creation that the store did first holds');
  await checkAfterHealing(t, zones, record, 0);
});

t.test('two gateways whose groups share a replica do not both accept a job', async (t) => {
  const zones = await ZonesWithStore.open(t, 1, 5);
  const record = new AnswerRecord(zones);
  const { addresses } = zones.zone('zone-1');
  const first = zones.start('zone-1', ({ address }) => addresses.slice(0, 3).includes(address));
  const second = zones.start('zone-1', ({ address }) => addresses.slice(2).includes(address));
  for (const [number, node] of [first, second].entries()) {
    const answer = zones.submit(node, step(`before-${number}`, number));
    t.equal(await zones.answerOf(answer), 'accepted');
  }
  zones.setStore('silent', first, second);
  const answers = [first, second].map((node) => zones.submit(node, step(JOB, 2)));
  await zones.answerOf(Promise.all(answers), 10_000);
  await zones.run(LISTING_TIME);
  for (const node of [first, second]) await record.read(node, JOB);
  await checkAfterHealing(t, zones, record, 2);
});
