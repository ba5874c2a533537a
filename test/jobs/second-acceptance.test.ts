/**
 * Guards against one job that is accepted twice, so that readers of different gateways get
 * different results at the same position, and against told results that are no longer read.
 */
import t from 'tap';
import { JobStore } from '../../src/jobs/job-store.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { AnswerRecord } from './answer-record.js';
import {
  acceptStep,
  checkAfterHealing,
  JOB,
  journaledOnly,
  LISTING_TIME,
  step,
} from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

t.test('a job whose creation is delayed in another zone is not accepted twice', async (t) => {
  const zones = await ZonesWithStore.open(t, 2);
  const record = new AnswerRecord(zones);
  const [first, second] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, first, 0);
  zones.setStore('refusing', first);
  zones.setStore('late-and-unanswered', second);
  const delayed = zones.submit(second, step(JOB, 1));
  await zones.run(500);
  const answer = zones.submit(first, step(JOB, 1));
  await zones.run(LISTING_TIME);
  await record.read(first, JOB);
  zones.setStore('up', second);
  await second.port.applyLateCommits();
  await zones.answerOf(Promise.all([delayed, answer]));
  await zones.run(LISTING_TIME);
  await record.read(second, JOB);
  t.same(record.differences(), [], 'one listing while the store refuses one zone');
  await checkAfterHealing(t, zones, record, 1);
});

t.test('two zones that each accepted an earlier step do not both accept the next', async (t) => {
  const zones = await ZonesWithStore.open(t, 2);
  const record = new AnswerRecord(zones);
  const [first, second] = [zones.start('zone-1'), zones.start('zone-2')];
  await acceptStep(zones, first, 0);
  await acceptStep(zones, second, 1);
  zones.setStore('silent', first, second);
  const answers = [first, second].map((node) => zones.submit(node, step(JOB, 2)));
  await zones.answerOf(Promise.all(answers), 10_000);
  await zones.run(LISTING_TIME);
  for (const node of [first, second]) await record.read(node, JOB);
  t.same(record.differences(), [], 'one listing while the store is silent');
  await checkAfterHealing(t, zones, record, 2);
});

t.test('a job on the one disk that is left is not created anew by another zone', async (t) => {
  const { zones, record } = await journaledOnly(t);
  const [lost1 = '', lost2 = '', left = ''] = zones.zone('zone-1').addresses;
  const other = zones.start('zone-2');
  zones.zone('zone-1').unreachable.add(left);
  await zones.restartReplica(lost1, 'empty');
  await zones.restartReplica(lost2, 'empty');
  t.strictSame(await record.read(other, JOB), { failure: 'ledger_unavailable' });
  const cancelled = await zones.answerOf(other.service.cancel(JOB, UNRESTRICTED, () => false));
  t.equal(cancelled?.kind, 'ledger_unavailable', 'a cancellation does not find it absent either');
  const answer = await zones.answerOf(zones.submit(other, step(JOB, 1)), 10_000);
  t.equal(answer, 'outcome_unknown');
  await zones.run(LISTING_TIME);
  t.strictSame(await record.read(other, JOB), { failure: 'ledger_unavailable' });
  await checkAfterHealing(t, zones, record, 1);
});

t.test('a job on the one disk that is left is not created anew in its own zone', async (t) => {
  const { zones, record } = await journaledOnly(t);
  const [lost1 = '', lost2 = '', left = ''] = zones.zone('zone-1').addresses;
  zones.zone('zone-1').unreachable.add(left);
  await zones.restartReplica(lost1, 'empty');
  await zones.restartReplica(lost2, 'empty');
  const restarted = zones.start('zone-1');
  t.strictSame(await record.read(restarted, JOB), { failure: 'ledger_unavailable' });
  await zones.answerOf(zones.submit(restarted, step(JOB, 1)), 10_000);
  await zones.run(LISTING_TIME);
  await record.read(restarted, JOB);
  t.same(record.differences(), [], 'no listing anew');
  await checkAfterHealing(t, zones, record, 1);
});

for (const listed of [0, 1, 2]) {
  t.test(`a gateway that lists ${listed} of three replicas creates no job anew`, async (t) => {
    const { zones, record } = await journaledOnly(t);
    const addresses = zones.zone('zone-1').addresses.slice(0, listed);
    const lists = (at: { zone: string; address: string }): boolean =>
      at.zone !== 'zone-1' || addresses.includes(at.address);
    const restarted = zones.start('zone-1', lists);
    await zones.answerOf(zones.submit(restarted, step(JOB, 1)), 10_000);
    await zones.run(LISTING_TIME);
    await record.read(restarted, JOB);
    t.same(record.differences(), [], 'no listing anew');
    await checkAfterHealing(t, zones, record, 1);
  });
}

t.test('results that a live owner told are read after another node stored the job', async (t) => {
  const zones = await ZonesWithStore.open(t, 2);
  const record = new AnswerRecord(zones);
  const owner = zones.start('zone-1');
  await acceptStep(zones, owner, 0);
  zones.setStore('refusing', owner);
  t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
  await zones.run(LISTING_TIME);
  await record.read(owner, JOB);
  t.equal(record.told.length, 2, 'the owner told both results');
  const unlisted = zones.zone('zone-1').addresses[0];
  const restarted = zones.start('zone-1', ({ address }) => address !== unlisted);
  await zones.answerOf(zones.submit(restarted, step(JOB, 1)), 10_000);
  await zones.run(LISTING_TIME);
  zones.setStore('up', owner);
  await zones.run(LISTING_TIME);
  for (const node of [owner, restarted]) await record.read(node, JOB);
  t.same(record.differences(), [], 'the owner tells what it told before');
  await checkAfterHealing(t, zones, record, 1);
});

t.test('gateways that list different replicas do not both accept a job', async (t) => {
  const zones = await ZonesWithStore.open(t, 1, 6);
  const record = new AnswerRecord(zones);
  const half = zones.zone('zone-1').addresses.slice(0, 3);
  const first = zones.start('zone-1', ({ address }) => half.includes(address));
  const second = zones.start('zone-1', ({ address }) => !half.includes(address));
  await acceptStep(zones, first, 0);
  await acceptStep(zones, second, 1);
  zones.setStore('silent', first, second);
  const answers = [first, second].map((node) => zones.submit(node, step(JOB, 2)));
  await zones.answerOf(Promise.all(answers), 10_000);
  await zones.run(LISTING_TIME);
  for (const node of [first, second]) await record.read(node, JOB);
  t.same(record.differences(), [], 'one listing while the store is silent');
  await checkAfterHealing(t, zones, record, 2);
});

t.test('a job is not accepted again by a group without the disk that is left', async (t) => {
  const zones = await ZonesWithStore.open(t, 1, 4);
  const record = new AnswerRecord(zones);
  const [left = '', lost1 = '', lost2 = '', added = ''] = zones.zone('zone-1').addresses;
  const first = zones.start('zone-1', ({ address }) => address !== added);
  const second = zones.start('zone-1');
  await acceptStep(zones, first, 0);
  await acceptStep(zones, second, 1);
  zones.setStore('silent', first, second);
  await zones.answerOf(zones.submit(first, step(JOB, 2)), 10_000);
  await zones.run(LISTING_TIME);
  await record.read(first, JOB);
  await zones.restartReplica(lost1, 'empty');
  await zones.restartReplica(lost2, 'empty');
  await zones.expireRecord(left, second);
  await zones.answerOf(zones.submit(second, step(JOB, 2)), 10_000);
  await zones.run(LISTING_TIME);
  await record.read(second, JOB);
  t.same(record.differences(), [], 'one listing while the store is silent');
  await checkAfterHealing(t, zones, record, 2);
});

t.test(
  'results are read after a node that claimed the journal ended during recovery',
  async (t) => {
    const zones = await ZonesWithStore.open(t, 2);
    const record = new AnswerRecord(zones);
    const owner = zones.start('zone-1');
    await acceptStep(zones, owner, 0);
    zones.setStore('late-and-unanswered', owner);
    t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
    await zones.run(LISTING_TIME);
    await record.read(owner, JOB);
    t.equal(record.told.length, 2, 'the owner told both results');
    zones.end(owner);
    const recovering = zones.start('zone-1');
    zones.setStore('late-and-unanswered', recovering);
    await zones.run(500);
    zones.end(recovering);
    await owner.port.applyLateCommits();
    await checkAfterHealing(t, zones, record, 1);
  },
);

t.test(
  'results are read after a node that claimed the journal ended during takeover',
  async (t) => {
    const zones = await ZonesWithStore.open(t, 2);
    const record = new AnswerRecord(zones);
    const owner = zones.start('zone-1');
    await acceptStep(zones, owner, 0);
    t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
    zones.setStore('silent', owner);
    await zones.run(LISTING_TIME);
    await record.read(owner, JOB);
    t.equal(record.told.length, 2, 'the owner told both results');
    zones.end(owner);
    const next = zones.start('zone-1');
    const head = await new JobStore(zones.store, zones.clock).head(JOB);
    if (head.kind !== 'found') throw new Error(head.kind);
    zones.setStore('refusing', next);
    t.equal(await zones.answerOf(next.service.takeOver(JOB, head.value)), false);
    zones.end(next);
    await checkAfterHealing(t, zones, record, 1);
  },
);

t.test('a recovery whose creation was not answered is tried again', async (t) => {
  const { zones, record } = await journaledOnly(t);
  const told = record.told.map(({ text }) => text);
  const recovering = zones.start('zone-1');
  zones.setStore('late-and-unanswered', recovering);
  await zones.run(2_000);
  zones.setStore('up', recovering);
  await zones.run(20_000);
  t.strictSame(await record.read(recovering, JOB), told);
  t.equal(await zones.answerOf(zones.submit(recovering, step(JOB, 1))), 'accepted');
  await checkAfterHealing(t, zones, record, 1);
});
