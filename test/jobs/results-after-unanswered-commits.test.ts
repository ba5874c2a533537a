/**
 * Guards against the loss of results that the journal has listed, where the store carries a commit
 * out without answering it and another node cancels the job then.
 */
import t from 'tap';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

interface Listed {
  readonly zones: ZonesWithStore;
  readonly owner: ZoneNode;
  readonly engine: SendRecorder;
  /** Cancels the job in the store without a message to its owner. */
  readonly cancelInStore: () => Promise<void>;
}

/** An owner in zone 1 whose commits the store carries out without an answer. */
async function unansweredOwner(
  test: Parameters<typeof ZonesWithStore.open>[0],
  since: 'creation' | 'acceptance',
): Promise<Listed> {
  const zones = await ZonesWithStore.open(test, 2);
  test.teardown(() => zones.close());
  const engine = new SendRecorder(zones.clock);
  const owner = zones.start('zone-1', undefined, engine);
  const other = zones.start('zone-2');
  await acceptStep(zones, owner, 0);
  if (since === 'creation') zones.setStore('commits-unanswered', owner);
  const answer = await zones.answerOf(zones.submit(owner, step(JOB, 1)));
  if (answer !== 'accepted') throw new Error(`the submission was answered ${answer}`);
  zones.setStore('commits-unanswered', owner);
  const cancelInStore = async (): Promise<void> => {
    zones.partitioned.add('zone-2');
    const cancellation = other.service.cancel(JOB, UNRESTRICTED, () => true);
    const outcome = await zones.answerOf(cancellation.then((failure) => ({ failure })));
    if (outcome?.failure !== undefined || outcome === undefined) throw new Error('not cancelled');
    await zones.run(3_000);
    zones.partitioned.clear();
  };
  return { zones, owner, engine, cancelInStore };
}

/** Number of results that a node of the other zone reads once all is well. */
async function readableAfterHealing({ zones, owner }: Listed): Promise<number | string> {
  zones.setStore('up', owner);
  await zones.run(5_000);
  const read = await zones.read(zones.start('zone-2'), JOB);
  return 'failure' in read ? read.failure : read.length;
}

t.test('results are kept if the creation was carried out without an answer', async (t) => {
  const listed = await unansweredOwner(t, 'creation');
  const { zones, owner, engine } = listed;
  engine.completing.add('item-0');
  await zones.run(1_000);
  t.match(await zones.read(owner, JOB), { length: 1 });
  await listed.cancelInStore();
  t.equal(await readableAfterHealing(listed), 1);
});

t.test('results are kept if an earlier page was stored without an answer', async (t) => {
  const listed = await unansweredOwner(t, 'acceptance');
  const { zones, owner, engine } = listed;
  engine.completing.add('item-0');
  await zones.run(1_000);
  engine.completing.add('item-1');
  await zones.run(1_000);
  t.match(await zones.read(owner, JOB), { length: 2 });
  await listed.cancelInStore();
  t.equal(await readableAfterHealing(listed), 2);
});
