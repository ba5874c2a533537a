/** Guards against two instances of one job on its owner, which list different results. */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { OwnedJob } from '../../src/jobs/owned-job.js';
import type { StoreCommit, StoreCommitOutcome } from '../../src/shared-store/shared-store.js';
import { AnswerRecord } from './answer-record.js';
import { always, headOf, ManualClock, OWNER, result, specification } from './job-fixtures.js';
import { acceptStep, checkAfterHealing, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

t.test('a node does not take over its own job while it processes the submission', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const record = new AnswerRecord(zones);
  const node = zones.start('zone-1');
  await acceptStep(zones, node, 0);
  const { port, service } = node;
  const commit = port.commit.bind(port);
  let scan: Promise<boolean> | undefined;
  port.commit = async (change: StoreCommit): Promise<StoreCommitOutcome> => {
    const outcome = await commit(change);
    const read = await new JobStore(zones.store, zones.clock).head(JOB);
    if (read.kind === 'found') scan ??= service.takeOver(JOB, read.value);
    return outcome;
  };
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1))), 'accepted');
  t.equal(await scan, false);
  await zones.run(LISTING_TIME);
  await record.read(node, JOB);
  await checkAfterHealing(t, zones, record, 1);
});

t.test(
  'a job that its own node took over again lists nothing under the earlier term',
  async (t) => {
    const store = new JobStore(new SharedStoreEmulator(), new ManualClock());
    const clock = new ManualClock();
    const spec = specification('job', 2);
    const change = await store.create(spec, { ...headOf(spec), term: 1 }, always);
    if (change.kind !== 'changed') throw new Error(change.kind);
    const rule = { minVersion: 1, singleVersion: false };
    const job = new OwnedJob(spec, change.current, [], rule, OWNER, store, clock);
    const takeover = await store.replace('job', change.current, { owner: OWNER, term: 2 }, always);
    t.equal(takeover.kind, 'changed');
    const entry = job.items.get('item-0');
    if (entry !== undefined) job.finish(entry, result(0));
    clock.time += 2_000;
    const isClosed = new Promise<void>((resolve) => job.changed.subscribe(() => resolve()));
    job.listOrVerify();
    await isClosed;
    t.equal(job.closeReason, 'superseded');
    const stored = await store.head('job');
    t.match(stored, { kind: 'found', value: { head: { listed: 0, pages: 0 } } });
  },
);
