/**
 * Guards against an owner that gives up a job which the journal has accepted, because the store has
 * carried out the job's creation before its answer arrived.
 */
import t from 'tap';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

t.test('a job is run while its creation in the store is unanswered', async (t) => {
  const zones = await ZonesWithStore.open(t, 2);
  const engine = new SendRecorder(zones.clock);
  const owner = zones.start('zone-1', undefined, engine);
  await acceptStep(zones, owner, 0);
  zones.setStore('commits-unanswered', owner);
  t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
  const job = owner.service.ownedJobs().find(({ spec }) => spec.id === JOB);
  await zones.run(5_000);
  t.equal(job?.closeReason, undefined, 'the job is not given up');
  t.equal(job?.isUnconfirmed, false, 'its items are sent');
  for (const { id } of step(JOB, 1).items) engine.completing.add(id);
  zones.setStore('up', owner);
  await zones.run(LISTING_TIME);
  const texts = await zones.read(owner, JOB);
  t.equal('failure' in texts ? texts.failure : texts.length, 2);
  t.equal(job?.closeReason, 'finished');
  await zones.close();
});
