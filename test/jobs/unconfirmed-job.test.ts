/**
 * Guards against an owner that sends items long after another node cancelled its job in the store,
 * because a slow owner has not read the head of the job since.
 */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { OwnedJob } from '../../src/jobs/owned-job.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, headOf, ManualClock, OWNER, specification } from './job-fixtures.js';
import { type JobNode, jobNode, workUntil } from './job-node.js';

t.test('a job whose head was not confirmed for two seconds is unconfirmed', async (t) => {
  const clock = new ManualClock();
  const store = new JobStore(new SharedStoreEmulator(), clock);
  const spec = specification('job', 1);
  const change = await store.create(spec, headOf(spec), always);
  if (change.kind !== 'changed') throw new Error(change.kind);
  const rule = { minVersion: 1, singleVersion: false };
  const job = new OwnedJob(spec, change.current, [], rule, OWNER, store, clock);
  clock.time += 1_900;
  t.notOk(job.isUnconfirmed);
  clock.time += 200;
  t.ok(job.isUnconfirmed);
  await job.verifyNow();
  t.notOk(job.isUnconfirmed);
});

/** A node whose reads of heads hang after it has accepted a job. */
async function unconfirmedNode(
  isStoreUnreachable: boolean,
): Promise<{ node: JobNode; sent: () => number }> {
  const emulator = new SharedStoreEmulator();
  const engine = new ScriptedEngine();
  const node = jobNode(emulator, OWNER, engine, NO_PEERS, {
    isStoreUnreachable: () => isStoreUnreachable,
  });
  await node.service.submit(specification('job', 1), always);
  emulator.get = () => new Promise(() => {});
  const startedAt = performance.now();
  await workUntil(node, () => performance.now() - startedAt > 2_200);
  // The only worker registers after the ownership has become unconfirmed.
  node.registry.put(worker('w1'));
  return { node, sent: () => engine.requests.length };
}

t.test('no items of an unconfirmed job are sent while the store is reachable', async (t) => {
  const { node, sent } = await unconfirmedNode(false);
  for (let tick = 0; tick < 5; tick += 1) node.dispatcher.tick();
  t.equal(sent(), 0);
  node.dispatcher.stop();
});

t.test('items of an unconfirmed job are sent while the store is unreachable', async (t) => {
  const { node, sent } = await unconfirmedNode(true);
  node.dispatcher.tick();
  t.equal(sent(), 1);
  node.dispatcher.stop();
});

t.test('items are sent as soon as the head is read', async (t) => {
  const emulator = new SharedStoreEmulator();
  const engine = new ScriptedEngine();
  const extras = { isStoreUnreachable: () => false };
  const node = jobNode(emulator, OWNER, engine, NO_PEERS, extras);
  await node.service.submit(specification('job', 1), always);
  const startedAt = performance.now();
  const get = emulator.get.bind(emulator);
  emulator.get = async () => ({ kind: 'failed', effect: 'not-done' });
  await workUntil(node, () => performance.now() - startedAt > 3_500);
  node.registry.put(worker('w1'));
  node.dispatcher.tick();
  t.equal(engine.requests.length, 0);
  emulator.get = get;
  const ticker = setInterval(() => node.service.tick(), 5);
  await eventually(() => engine.requests.length > 0).finally(() => clearInterval(ticker));
  node.dispatcher.stop();
});
